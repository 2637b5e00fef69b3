/** Carries messages from one engine to the others. */

import { type Address, formatAddress } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import { Agent, request } from "undici";
import { withDueTime } from "./due_time.ts";
import type { Outgoing } from "./outgoing.ts";
import type { SendMeter } from "./send_meter.ts";
import type { EngineMessage, StepsReply } from "./step.ts";

const SEND_TIMEOUT_MS = 1_000;

/** Decides what becomes of messages; tests lose, repeat and delay them. */
export type LinkFault = (
  messages: readonly EngineMessage[],
  /** Sends messages to the same engine, as they are, at any later time. */
  repeat: (messages: readonly EngineMessage[]) => void,
) => Promise<readonly EngineMessage[]>;

export interface EngineLinkOptions {
  readonly own: Address;
  /** Read for each message: a link may degrade while it is in use. */
  readonly linkMs: () => number;
  readonly fault: LinkFault | undefined;
  readonly meter: SendMeter;
  /** Takes the messages of the engine to itself. */
  receive(message: EngineMessage): void;
  /** Hears of messages that did not arrive. */
  onUnsent(messages: readonly EngineMessage[], reason: string): void;
  /** Hears of requests of which the receiver has no KV cache. */
  onUnknown(messages: readonly EngineMessage[]): void;
}

/** Creates the sending half; returns how to send. */
export function createEngineLink(
  options: EngineLinkOptions,
): (outgoing: readonly Outgoing[], leftAt?: number) => void {
  const agent = new Agent({ connect: { timeout: SEND_TIMEOUT_MS } });
  const own = formatAddress(options.own);

  function post(address: string, messages: readonly EngineMessage[]) {
    return request(`http://${address}/steps`, {
      dispatcher: agent,
      method: "POST",
      body: JSON.stringify(messages),
      signal: AbortSignal.timeout(SEND_TIMEOUT_MS),
    });
  }

  async function send(
    address: string,
    messages: readonly EngineMessage[],
    leftAt: number,
  ): Promise<void> {
    if (address === own) {
      for (const message of messages) options.receive(message);
      return;
    }
    const dueAt = leftAt + options.linkMs();
    await pause(Math.max(0, dueAt - performance.now()));
    const repeat = (late: readonly EngineMessage[]) =>
      void post(address, late).then(
        ({ body }) => body.dump(),
        () => {},
      );
    const sent = messages.map((message) => withDueTime(message, dueAt));
    const arriving = (await options.fault?.(sent, repeat)) ?? sent;
    if (arriving.length === 0) return;
    try {
      const response = await post(address, arriving);
      const { unknown } = (await response.body.json()) as StepsReply;
      options.meter.observe(performance.now() - leftAt);
      const lost = messages.filter(({ requestId }) =>
        unknown.includes(requestId),
      );
      options.onUnknown(lost);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      options.onUnsent(messages, reason);
    }
  }

  /** Sends all messages for one engine in one call. */
  return (outgoing, leftAt = performance.now()) => {
    const byAddress = new Map<string, EngineMessage[]>();
    for (const { to, message } of outgoing) {
      const address = formatAddress(to);
      const messages = byAddress.get(address) ?? [];
      messages.push(message);
      byAddress.set(address, messages);
    }
    for (const [address, messages] of byAddress)
      void send(address, messages, leftAt);
  };
}
