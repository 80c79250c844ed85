import { Api, type ApiAnswer, type ApiCall } from "@mustardweir/demo";

/** Client of one entry that counts its unanswered calls. */
export class Caller extends Api {
  readonly nodeId: string;
  /** Number of calls that ended without an answer. */
  unansweredCalls = 0;
  /** Number of calls in progress. */
  waiting = 0;

  constructor(nodeId: string, base: string) {
    super(base);
    this.nodeId = nodeId;
  }

  override async call<Body>(call: ApiCall): Promise<ApiAnswer<Body>> {
    this.waiting += 1;
    const answer = await super.call<Body>(call);
    this.waiting -= 1;
    this.unansweredCalls += Number(answer.status === 0);
    return answer;
  }
}
