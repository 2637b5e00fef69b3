/** Callers who send requests at a steady rate, whatever becomes of them. */
import { type ChildProcess, fork } from "node:child_process";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  type CallerAnswer,
  type CallOptions,
  call,
  REQUESTS,
  streamHeaders,
} from "@rosemarypin/platform/stand_in";
import { z } from "zod";
import type { SeededRandom } from "../seeded_random.ts";
import type { BalancedInstance, ChooseInstance } from "./balancer.ts";

const STREAM_DEADLINE_MS = 20_000;
const PLAIN_DEADLINE_MS = 1_500;
const STREAM_SHARE = 0.9;
/** A caller follows `Retry-After` up to this share of the time that it has left. */
const LONGEST_RETRY_SHARE = 1 / 3;
const MAX_ATTEMPTS = 2;
const DOMAINS = ["a", "b", "c"] as const;

const outcomeSchema = z.object({
  /** In Unix milliseconds. */
  sentAt: z.number(),
  endedAt: z.number(),
  isStream: z.boolean(),
  isServed: z.boolean(),
  /** Status of each attempt; 0 for a connection that closed, -1 for none. */
  statuses: z.array(z.number()),
});
/** How a request and its retry ended. */
export type CallerOutcome = z.infer<typeof outcomeSchema>;

export const callersPlanSchema = z.object({
  instances: z.array(
    z.object({ domain: z.string(), url: z.string(), readyUrl: z.string() }),
  ),
  seed: z.number(),
  requestsPerSecond: z.number(),
  events: z.number(),
});
export interface CallersPlan
  extends Omit<z.infer<typeof callersPlanSchema>, "instances"> {
  readonly instances: readonly BalancedInstance[];
}

/** Tells a process of callers the ready instances, or to stop. */
export const orderSchema = z.union([
  z.object({ ready: z.array(z.string()) }),
  z.literal("stop"),
]);
type CallersOrder = z.infer<typeof orderSchema>;

export interface CallerProcesses {
  /** Requests that have ended so far. */
  readonly outcomes: readonly CallerOutcome[];
  /** Tells all callers which instances are ready. */
  tellReady(urls: readonly string[]): void;
  /** Resolves when the requests in progress have ended. */
  stop(): Promise<void>;
  /** Ends the processes at once. */
  end(): void;
}

/** Divides the callers of a plan among processes, and starts these. */
export function startCallerProcesses(
  count: number,
  plan: CallersPlan,
): CallerProcesses {
  const outcomes: CallerOutcome[] = [];
  const here = dirname(fileURLToPath(import.meta.url));
  const program = join(here, "callers_main.js").replace("/src/", "/dist/");
  const children = Array.from({ length: count }, (_, index) => {
    const requestsPerSecond = plan.requestsPerSecond / count;
    const seed = plan.seed * count + index;
    const part = JSON.stringify({ ...plan, requestsPerSecond, seed });
    const child = fork(program, [part]);
    child.on("message", (message) => {
      outcomes.push(outcomeSchema.parse(message));
    });
    return child;
  });
  const order = (child: ChildProcess, message: CallersOrder) => {
    // A process that has just ended reads nothing more.
    if (child.connected) child.send(message, () => {});
  };
  return {
    outcomes,
    tellReady(urls) {
      for (const child of children) order(child, { ready: [...urls] });
    },
    async stop() {
      await Promise.all(
        children.map((child) => {
          const ended = new Promise((resolve) => child.once("exit", resolve));
          order(child, "stop");
          return ended;
        }),
      );
    },
    end() {
      for (const child of children) child.kill("SIGKILL");
    },
  };
}

export interface Callers {
  /** Resolves when the requests in progress have ended. */
  stop(): Promise<void>;
}

/** Starts to send requests. */
export function startCallers(options: {
  readonly choose: ChooseInstance;
  readonly random: SeededRandom;
  /** Begins the IDs of their requests. */
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly events: number;
  readonly onOutcome: (outcome: CallerOutcome) => void;
}): Callers {
  const { choose, random } = options;
  const open = new Set<Promise<void>>();
  let isStopped = false;
  /** Requests so far. */
  let sent = 0;
  const sending = sendSteadily();

  async function sendSteadily(): Promise<void> {
    let dueAt = performance.now();
    while (!isStopped) {
      dueAt += 1_000 / options.requestsPerSecond;
      await pause(Math.max(0, dueAt - performance.now()));
      const ended = send().finally(() => open.delete(ended));
      open.add(ended);
    }
  }

  async function send(): Promise<void> {
    const domain = random.pick(DOMAINS);
    const isStream = random.chance(STREAM_SHARE);
    const plain = random.pick<CallOptions>([REQUESTS.order, REQUESTS.lookup]);
    const headers = streamHeaders(options.events);
    const request = isStream ? { ...REQUESTS.stream, headers } : plain;
    const patienceMs = isStream ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS;
    const sentAt = Date.now();
    const statuses: number[] = [];
    const tried = new Set<string>();
    while (statuses.length < MAX_ATTEMPTS) {
      const leftMs = sentAt + patienceMs - Date.now();
      if (leftMs <= 0) break;
      const { url } = choose(domain, tried);
      tried.add(url);
      const deadlineMs = Math.round(leftMs);
      sent += 1;
      const id = `${options.name}-${sent}`;
      const answer = await call(url, { ...request, id, deadlineMs });
      statuses.push(statusOf(answer));
      if (statuses.at(-1) === 200) break;
      const mayRepeat =
        isStream || answer.refused || [429, 503].includes(answer.status);
      if (!mayRepeat) break;
      const restMs = sentAt + patienceMs - Date.now();
      const retryMs = 1_000 * Number(answer.headers["retry-after"] ?? 0);
      await pause(Math.max(0, Math.min(retryMs, restMs * LONGEST_RETRY_SHARE)));
    }
    const endedAt = Date.now();
    const isServed = statuses.at(-1) === 200;
    options.onOutcome({ sentAt, endedAt, isStream, isServed, statuses });
  }

  return {
    async stop() {
      isStopped = true;
      await sending;
      await Promise.all(open);
    },
  };
}

function statusOf({ refused, status, whole }: CallerAnswer): number {
  if (refused) return -1;
  return status === 200 && !whole ? 0 : status;
}
