import { count, observe } from "@mustardweir/protocol";
import { expect } from "chai";
import { Metrics, MetricsPerformer } from "./mod.ts";

interface MetricsCase {
  readonly name: string;
  readonly act: (metrics: Metrics) => void;
  readonly text: string;
}

const SUMMARY_TEXT = `# TYPE mustardweir_start_wait_ms summary
mustardweir_start_wait_ms{quantile="0.5"} 2
mustardweir_start_wait_ms{quantile="0.9"} 4
mustardweir_start_wait_ms{quantile="0.99"} 4
mustardweir_start_wait_ms{quantile="0.999"} 4
mustardweir_start_wait_ms_sum 10
mustardweir_start_wait_ms_count 4
`;

const METRICS_CASES: readonly MetricsCase[] = [
  { name: "nothing", act: () => {}, text: "" },
  {
    name: "counters by name",
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
    name: "a histogram as a summary",
    act: (metrics) => [1, 2, 3, 4].forEach(observeWait(metrics)),
    text: SUMMARY_TEXT,
  },
  {
    name: "histograms merged from another process",
    act: (metrics) => {
      const other = new Metrics();
      [3, 4].forEach(observeWait(other));
      [1, 2].forEach(observeWait(metrics));
      metrics.mergeHistograms(other.encodeHistograms());
    },
    text: SUMMARY_TEXT,
  },
  {
    name: "effects that count and observe",
    act: (metrics) => {
      const performer = new MetricsPerformer(metrics);
      performer.perform(count("asks", 2));
      [1, 2, 3, 4].forEach((value) =>
        performer.perform(observe("start-wait-ms", value))
      );
    },
    text: `# TYPE mustardweir_asks_total counter
mustardweir_asks_total 2
${SUMMARY_TEXT}`,
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

  it("gives counters and histograms as data", () => {
    const metrics = new Metrics();
    metrics.count("jobs");
    metrics.observe("wait-ms", -5);
    const { counters, histograms } = metrics.snapshot();
    expect(counters).to.deep.equal({ jobs: 1 });
    expect(histograms["wait-ms"]).to.include({ count: 1, sum: 0, max: 0 });
  });
});
