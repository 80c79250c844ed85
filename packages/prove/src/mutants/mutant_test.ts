import {
  type Command,
  CommandPriority,
  Role,
  type Update,
} from "@mustardweir/kernel";
import type { NodeEffect, PeerMessage } from "@mustardweir/protocol";
import { EffectKind } from "@mustardweir/protocol";
import type { Point } from "../point.ts";
import type { SimulatedNode } from "../simulation/node.ts";
import { Tampering } from "../simulation/tampering.ts";

/** A change that removes or breaks one mechanism of the system. */
export interface Mutant {
  readonly name: string;
  /** The point whose oracle must catch the mutant. */
  readonly point: Point;
  readonly create: () => Tampering;
}

/** Changes or drops the payloads of the command with a given name. */
export class EventMutant<Payload> extends Tampering {
  readonly #name: string;
  readonly #change: (
    payload: Payload,
    node: SimulatedNode,
  ) => Payload | undefined;

  constructor(
    name: string,
    change: (payload: Payload, node: SimulatedNode) => Payload | undefined,
  ) {
    super();
    this.#name = name;
    this.#change = change;
  }

  override transformPayload<Sent>(
    node: SimulatedNode,
    command: Command<Sent>,
    payload: Sent,
  ): Sent | undefined {
    return command.name === this.#name
      ? this.#change(payload as never, node) as never
      : payload;
  }
}

/** Changes messages of peers when they are received. */
export class MessageMutant extends EventMutant<
  { readonly from: string; readonly message: PeerMessage }
> {
  constructor(
    change: (message: PeerMessage, node: SimulatedNode) => PeerMessage,
  ) {
    super("peer-message-received", ({ from, message }, node) => ({
      from,
      message: change(message, node),
    }));
  }
}

/** Replaces the effects of one kind. */
export class EffectMutant<Kind extends EffectKind> extends Tampering {
  readonly #kind: Kind;
  readonly #change: (
    effect: Extract<NodeEffect, { kind: Kind }>,
  ) => readonly NodeEffect[];

  constructor(
    kind: Kind,
    change: (
      effect: Extract<NodeEffect, { kind: Kind }>,
    ) => readonly NodeEffect[],
  ) {
    super();
    this.#kind = kind;
    this.#change = change;
  }

  override transformEffect(
    _node: SimulatedNode,
    effect: NodeEffect,
  ): readonly NodeEffect[] {
    return effect.kind === this.#kind
      ? this.#change(effect as Extract<NodeEffect, { kind: Kind }>)
      : [effect];
  }
}

/** Handles a command before all other handlers, on nodes of one role. */
export class HandlerMutant<Payload> extends Tampering {
  readonly #role: Role;
  readonly #command: Command<Payload>;
  readonly #handle: (payload: Payload, update: Update) => boolean | void;

  constructor(
    role: Role,
    command: Command<Payload>,
    handle: (payload: Payload, update: Update) => boolean | void,
  ) {
    super();
    this.#role = role;
    this.#command = command;
    this.#handle = handle;
  }

  override install({ identity, kernel }: SimulatedNode): void {
    if (identity.role === this.#role) {
      const { Critical } = CommandPriority;
      kernel.registerCommand(this.#command, this.#handle, Critical);
    }
  }
}

/** Changes state periodically, on nodes of one role. */
export class StateMutant extends Tampering {
  readonly #role: Role;
  readonly #change: (update: Update) => void;

  constructor(role: Role, change: (update: Update) => void) {
    super();
    this.#role = role;
    this.#change = change;
  }

  override install({ identity, kernel }: SimulatedNode): void {
    if (identity.role === this.#role) {
      kernel.registerPeriodic({ intervalMs: 20, run: this.#change });
    }
  }
}

/** Installs one part for each role, on entries and schedulers. */
export class OnAllRoles extends Tampering {
  readonly #parts: readonly Tampering[];

  constructor(create: (role: Role) => Tampering) {
    super();
    this.#parts = [create(Role.Entry), create(Role.Scheduler)];
  }

  override install(node: SimulatedNode): void {
    this.#parts.forEach((part) => part.install(node));
  }
}
