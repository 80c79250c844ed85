import {
  CommandPriority,
  createCommand,
  type Effect,
  Kernel,
  Plugin,
} from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  RecordCommitKind,
  type RecordCommitResult,
  replyTo,
  type StoreRequest,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  callStore,
  RELAYS_KNOWN,
  STORE_ROUTE,
  StoreRoutePlugin,
} from "./mod.ts";

const NOW_MS = 100_000;
const RELAY = "n1";
const ANSWERED = createCommand<EffectReply<null, RecordCommitResult>>(
  "answered",
);
const COMMITTED = {
  kind: RecordCommitKind.Committed,
  version: 7,
  clockMs: 1,
} as const;

/** A process of a node that reaches the store through a peer. */
class RelayedProcess {
  readonly results: RecordCommitResult[] = [];
  readonly #kernel: Kernel;

  constructor(seed: number) {
    const { results } = this;
    class ResultsPlugin extends Plugin {
      override readonly name = "results";

      override register(kernel: Kernel) {
        return kernel.registerCommand(
          ANSWERED,
          ({ result }) => {
            results.push(result);
          },
          CommandPriority.Normal,
        );
      }
    }
    this.#kernel = new Kernel({
      plugins: [new StoreRoutePlugin(), new ResultsPlugin()],
      seed,
    });
    this.#kernel.run(RELAYS_KNOWN, { peers: [RELAY] }, NOW_MS);
    this.#kernel.update(NOW_MS, (update) => {
      const route = update.write(STORE_ROUTE);
      route.isRelayed = true;
      route.nextProbeMs = Infinity;
    });
  }

  /** Sends a commit and returns the request to the peer. */
  commit(): StoreRequest {
    const effects = this.#kernel.update(NOW_MS, (update) =>
      callStore(update, {
        kind: EffectKind.CommitRecords,
        transaction: { expected: [], puts: [], removes: [] },
        timeoutMs: 1_000,
        replyTo: replyTo(ANSWERED, null),
      }));
    return effects.map(requestOf).find((request) => request !== undefined)!;
  }

  receive(from: string, requestId: number): void {
    this.#kernel.run(PEER_MESSAGE_RECEIVED, {
      from,
      message: {
        kind: PeerMessageKind.StoreReply,
        requestId,
        result: COMMITTED,
      },
    }, NOW_MS);
  }
}

function requestOf(effect: Effect): StoreRequest | undefined {
  const one = effect as NodeEffect;
  return one.kind === EffectKind.SendPeer &&
      one.message.kind === PeerMessageKind.StoreRequest
    ? one.message
    : undefined;
}

interface RelayedCallCase {
  readonly name: string;
  /** Which process sent the request that is replied to. */
  readonly isOwn: boolean;
  readonly from: string;
  readonly results: readonly RecordCommitResult[];
}

const CASES: readonly RelayedCallCase[] = [
  {
    name: "a reply to it",
    isOwn: true,
    from: RELAY,
    results: [COMMITTED],
  },
  {
    name: "no reply to a commit of the node's earlier process",
    isOwn: false,
    from: RELAY,
    results: [],
  },
  {
    name: "no reply of a peer that wasn't asked",
    isOwn: true,
    from: "n2",
    results: [],
  },
];

// Guards against a commit that is taken for durable because an earlier process of
// the node, or another peer, was told so of another one.
describe("a commit that a peer relays takes", () => {
  for (const { name, isOwn, from, results } of CASES) {
    it(name, () => {
      const earlier = new RelayedProcess(1);
      const later = new RelayedProcess(2);
      const asked = earlier.commit();
      const own = later.commit();
      later.receive(from, (isOwn ? own : asked).requestId);
      expect(later.results).to.deep.equal(results);
    });
  }
});
