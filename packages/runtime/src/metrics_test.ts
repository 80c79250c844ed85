import { count, gauge, observe } from "@mustardweir/protocol";
import { expect } from "chai";
import { Metrics, MetricsPerformer } from "./mod.ts";

interface MetricsCase {
  readonly name: string;
  readonly act: (metrics: Metrics) => void;
  readonly text: string;
}

const HISTOGRAM_TEXT = `# TYPE mustardweir_start_wait_ms histogram
mustardweir_start_wait_ms_bucket{le="5"} 2
mustardweir_start_wait_ms_bucket{le="10"} 2
mustardweir_start_wait_ms_bucket{le="25"} 2
mustardweir_start_wait_ms_bucket{le="50"} 2
mustardweir_start_wait_ms_bucket{le="100"} 2
mustardweir_start_wait_ms_bucket{le="250"} 3
mustardweir_start_wait_ms_bucket{le="500"} 3
mustardweir_start_wait_ms_bucket{le="1000"} 3
mustardweir_start_wait_ms_bucket{le="2500"} 3
mustardweir_start_wait_ms_bucket{le="3000"} 4
mustardweir_start_wait_ms_bucket{le="5000"} 4
mustardweir_start_wait_ms_bucket{le="10000"} 4
mustardweir_start_wait_ms_bucket{le="+Inf"} 4
mustardweir_start_wait_ms_sum 3256
mustardweir_start_wait_ms_count 4
`;
const WAITS_MS = [1, 5, 250, 3_000];

const METRICS_CASES: readonly MetricsCase[] = [
  { name: "nothing without metrics", act: () => {}, text: "" },
  {
    name: "counters, sorted by name",
    act: (metrics) => {
      metrics.count("jobs-accepted");
      metrics.count("asks-sent", 4);
      metrics.count("jobs-accepted", 2);
    },
    text: `# TYPE mustardweir_asks_sent_total counter
mustardweir_asks_sent_total 4
# TYPE mustardweir_jobs_accepted_total counter
mustardweir_jobs_accepted_total 3
`,
  },
  {
    name: "a histogram as buckets",
    act: (metrics) => WAITS_MS.forEach(observeWait(metrics)),
    text: HISTOGRAM_TEXT,
  },
  {
    name: "histograms merged from another process",
    act: (metrics) => {
      const other = new Metrics();
      WAITS_MS.slice(2).forEach(observeWait(other));
      WAITS_MS.slice(0, 2).forEach(observeWait(metrics));
      metrics.mergeHistograms(other.encodeHistograms());
    },
    text: HISTOGRAM_TEXT,
  },
  {
    name: "the largest value of a gauge that is raised",
    act: (metrics) => [2, 7, 3].forEach((ms) => metrics.raise("longest", ms)),
    text: `# TYPE mustardweir_longest gauge
mustardweir_longest 7
`,
  },
  {
    name: "the largest value since the last rendering",
    act: (metrics) => {
      metrics.raise("longest", 7);
      metrics.renderPrometheus();
      metrics.raise("longest", 3);
    },
    text: `# TYPE mustardweir_longest gauge
mustardweir_longest 3
`,
  },
  {
    name: "the last value of a gauge",
    act: (metrics) => {
      const performer = new MetricsPerformer(metrics);
      performer.perform(gauge("jobs-open", 4));
      performer.perform(gauge("jobs-open", 3));
    },
    text: `# TYPE mustardweir_jobs_open gauge
mustardweir_jobs_open 3
`,
  },
  {
    name: "effects that count and observe",
    act: (metrics) => {
      const performer = new MetricsPerformer(metrics);
      performer.perform(count("asks", 2));
      WAITS_MS.forEach((value) =>
        performer.perform(observe("start-wait-ms", value))
      );
    },
    text: `# TYPE mustardweir_asks_total counter
mustardweir_asks_total 2
${HISTOGRAM_TEXT}`,
  },
];

function observeWait(metrics: Metrics): (value: number) => void {
  return (value) => metrics.observe("start-wait-ms", value);
}

describe("Metrics", () => {
  for (const { name, act, text } of METRICS_CASES) {
    it(`renders ${name}`, () => {
      const metrics = new Metrics();
      act(metrics);
      expect(metrics.renderPrometheus()).to.equal(text);
    });
  }

  it("returns a snapshot of counters and histograms", () => {
    const metrics = new Metrics();
    metrics.count("jobs");
    metrics.observe("wait-ms", -5);
    const { counters, histograms } = metrics.snapshot();
    expect(counters).to.deep.equal({ jobs: 1 });
    expect(histograms["wait-ms"]).to.include({ count: 1, sum: 0, max: 0 });
  });
});
