import { Api, type ApiAnswer, type ApiCall } from "@mustardweir/demo";

/** Calls an entry and counts the calls that got no answer. */
export class Caller extends Api {
  readonly nodeId: string;
  /** Calls without an answer. */
  cut = 0;
  /** Calls whose answer is not there yet. */
  waiting = 0;

  constructor(nodeId: string, base: string) {
    super(base);
    this.nodeId = nodeId;
  }

  override async call<Body>(call: ApiCall): Promise<ApiAnswer<Body>> {
    this.waiting += 1;
    const answer = await super.call<Body>(call);
    this.waiting -= 1;
    this.cut += Number(answer.status === 0);
    return answer;
  }
}
