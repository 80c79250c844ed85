import { expect } from "chai";
import { createPlugins, Kernel, Role } from "@mustardweir/kernel";
import {
  ConsecutiveFailuresDetector,
  FAULT_DETECTOR,
  FaultDetector,
  InstanceVerdict,
  LikelihoodDetector,
  MovingAverageDetector,
  TaskOutcome,
} from "./mod.ts";

const FIRST_GAP_MS = 30_000;
const TEAMS = ["a", "b", "c"];

/** Records successes of each team on other instances. */
function warmUp(detector: FaultDetector): void {
  for (const team of TEAMS) {
    for (let i = 0; i < 20; i++) {
      detector.observe(`other-${i}`, TaskOutcome.Ok, team, 0);
    }
  }
}

interface Ends {
  readonly count: number;
  readonly outcome: TaskOutcome;
  readonly teams?: readonly string[];
  readonly instanceId?: string;
}

interface DetectorCase {
  readonly name: string;
  readonly ends: readonly Ends[];
  readonly verdict: InstanceVerdict;
}

const { Ok, Failed } = TaskOutcome;

const CASES: readonly DetectorCase[] = [
  {
    name: "reports an instance without outcomes as healthy",
    ends: [],
    verdict: InstanceVerdict.Healthy,
  },
  {
    name: "quarantines an instance that fails ten tasks of several teams",
    ends: [{ count: 10, outcome: Failed }],
    verdict: InstanceVerdict.Quarantined,
  },
  {
    name: "doesn't quarantine an instance with occasional failures",
    ends: [
      { count: 2, outcome: Failed },
      { count: 10, outcome: Ok },
      { count: 2, outcome: Failed },
      { count: 10, outcome: Ok },
    ],
    verdict: InstanceVerdict.Healthy,
  },
  {
    name: "doesn't quarantine for failures of a team that fails everywhere",
    ends: [
      { count: 1, outcome: Failed, teams: ["d"], instanceId: "other-1" },
      { count: 1, outcome: Failed, teams: ["d"], instanceId: "other-2" },
      { count: 1, outcome: Failed, teams: ["d"], instanceId: "other-3" },
      { count: 20, outcome: Failed, teams: ["d"] },
    ],
    verdict: InstanceVerdict.Healthy,
  },
];

const DETECTORS: readonly (() => FaultDetector)[] = [
  () => new ConsecutiveFailuresDetector(),
  () => new MovingAverageDetector(),
  () => new LikelihoodDetector(),
];

function feed(detector: FaultDetector, ends: readonly Ends[]): void {
  for (const { count, outcome, teams = TEAMS, instanceId = "i" } of ends) {
    for (let n = 0; n < count; n++) {
      detector.observe(instanceId, outcome, teams[n % teams.length]!, 0);
    }
  }
}

for (const create of DETECTORS) {
  describe(`detection by ${create().name}`, () => {
    for (const { name, ends, verdict } of CASES) {
      it(name, () => {
        const detector = create();
        warmUp(detector);
        feed(detector, ends);
        expect(detector.verdict("i", 0)).to.equal(verdict);
        const isExcluded = verdict !== InstanceVerdict.Healthy;
        expect(detector.suspicion("i") >= 1).to.equal(isExcluded);
      });
    }
  });
}

interface ProbeCase {
  readonly name: string;
  /** Runs after the instance was quarantined at time 0. */
  readonly act: (detector: FaultDetector) => void;
  readonly at: number;
  readonly verdict: InstanceVerdict;
}

function probe(detector: FaultDetector, outcome: TaskOutcome, at: number) {
  detector.probeStarted("i", at);
  detector.observe("i", outcome, "a", at);
}

const PROBE_CASES: readonly ProbeCase[] = [
  {
    name: "probes after the first interval",
    act: () => {},
    at: FIRST_GAP_MS,
    verdict: InstanceVerdict.Probing,
  },
  {
    name: "sends one probe at a time",
    act: (detector) => detector.probeStarted("i", FIRST_GAP_MS),
    at: FIRST_GAP_MS + 1,
    verdict: InstanceVerdict.Quarantined,
  },
  {
    name: "probes again when a probe has no outcome",
    act: (detector) => detector.probeStarted("i", FIRST_GAP_MS),
    at: FIRST_GAP_MS + 600_000,
    verdict: InstanceVerdict.Probing,
  },
  {
    name: "waits longer after a failed probe",
    act: (detector) => probe(detector, Failed, FIRST_GAP_MS),
    at: 3 * FIRST_GAP_MS - 1,
    verdict: InstanceVerdict.Quarantined,
  },
  {
    name: "ignores the failure of a task from before the quarantine",
    act: (detector) => detector.observe("i", Failed, "a", 1),
    at: FIRST_GAP_MS,
    verdict: InstanceVerdict.Probing,
  },
  {
    name: "continues to probe after one success",
    act: (detector) => probe(detector, Ok, FIRST_GAP_MS),
    at: FIRST_GAP_MS,
    verdict: InstanceVerdict.Probing,
  },
  {
    name: "ends the quarantine after three successes",
    act: (detector) => {
      for (let n = 0; n < 3; n++) {
        probe(detector, Ok, FIRST_GAP_MS + n);
      }
    },
    at: FIRST_GAP_MS + 3,
    verdict: InstanceVerdict.Healthy,
  },
  {
    name: "drops the records of a replaced instance",
    act: (detector) => detector.removeInstance("i"),
    at: 0,
    verdict: InstanceVerdict.Healthy,
  },
];

describe("probes of instances in quarantine", () => {
  for (const { name, act, at, verdict } of PROBE_CASES) {
    it(name, () => {
      const detector = new LikelihoodDetector();
      warmUp(detector);
      feed(detector, [{ count: 10, outcome: Failed }]);
      act(detector);
      expect(detector.verdict("i", at)).to.equal(verdict);
    });
  }
});

describe("QuarantinePlugin", () => {
  it("registers a detector for schedulers", () => {
    const kernel = new Kernel({ plugins: createPlugins(Role.Scheduler) });
    expect(kernel.service(FAULT_DETECTOR)).to.be.instanceOf(FaultDetector);
  });
});
