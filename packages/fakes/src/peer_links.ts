/** Calls between instances of one process, by links that a test can break. */
import type {
  PeerCaller,
  PeerMethods,
  PeerResult,
} from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";

/** Changes a message on its way; a test uses it to act as another version. */
export type MessageFilter = (message: unknown) => unknown;

/** One instance's place among the links. */
export interface PeerLink {
  readonly caller: PeerCaller;
  /** Starts to answer calls to the instance's address. */
  serve(methods: PeerMethods): Promise<void>;
}

/** Instances are known by the hosts of their addresses. */
export interface PeerLinks {
  link(host: string): PeerLink;
  /** Ends the process at the host: calls to it are refused. */
  kill(host: string): void;
  /** Stops the process at the host, or lets it go on: calls get no answer. */
  setFrozen(host: string, isFrozen: boolean): void;
  /** Drops what goes from one host to another; the other way stays open. */
  cutOneWay(from: string, to: string): void;
  /** Sets filters of the parameters and results of calls from and to a host. */
  filterCalls(
    host: string,
    filters: { readonly params: MessageFilter; readonly result: MessageFilter },
  ): void;
  /** Answered calls so far, by host of the instance that was called. */
  answered(): ReadonlyMap<string, number>;
}

/** Time that a message takes. */
const DELAY_MS = 1;
const DEFAULT_TIMEOUT_MS = 1_000;

/** Creates links without instances. */
export function createPeerLinks(): PeerLinks {
  const methodsByHost = new Map<string, PeerMethods>();
  const frozenHosts = new Set<string>();
  const cuts = new Set<string>();
  const answered = new Map<string, number>();
  const filters = new Map<
    string,
    { readonly params: MessageFilter; readonly result: MessageFilter }
  >();

  /** Resolves if the message arrives. */
  async function carry(from: string, to: string): Promise<void> {
    await pause(DELAY_MS);
    const isLost = cuts.has(`${from}|${to}`) || frozenHosts.has(to);
    if (isLost) await new Promise(() => {});
  }

  async function exchange(
    from: string,
    to: string,
    { method, params }: { readonly method: string; readonly params: unknown },
  ): Promise<PeerResult> {
    await carry(from, to);
    const methods = methodsByHost.get(to);
    if (!methods) return { kind: "refused" };
    const applied = [filters.get(from), filters.get(to)];
    let result: PeerResult;
    try {
      const sent = applied.reduce(
        (message, filter) => (filter ? filter.params(message) : message),
        asMessage(params),
      );
      const value = applied.reduce(
        (message, filter) => (filter ? filter.result(message) : message),
        asMessage(await methods[method]?.(sent)),
      );
      result = { kind: "ok", value };
    } catch (error) {
      result = { kind: "rejected", detail: String(error) };
    }
    if (methodsByHost.get(to) !== methods) return { kind: "refused" };
    if (frozenHosts.has(to)) await new Promise(() => {});
    await carry(to, from);
    answered.set(to, (answered.get(to) ?? 0) + 1);
    return result;
  }

  async function call(
    from: string,
    to: Address,
    options: {
      readonly method: string;
      readonly params: unknown;
      readonly timeoutMs: number;
    },
  ): Promise<PeerResult> {
    const answeredCall = new AbortController();
    const timeout = pause(options.timeoutMs, answeredCall.signal).then(
      (): PeerResult => ({ kind: "unreachable", detail: "no answer" }),
    );
    const result = await Promise.race([
      exchange(from, to.host, options),
      timeout,
    ]);
    answeredCall.abort();
    return result;
  }

  return {
    link: (host) => ({
      caller: {
        call: (address, method, { params, timeoutMs } = {}) =>
          call(host, address, {
            method,
            params: params ?? {},
            timeoutMs: timeoutMs ?? DEFAULT_TIMEOUT_MS,
          }),
      },
      async serve(methods) {
        methodsByHost.set(host, methods);
      },
    }),
    kill: (host) => void methodsByHost.delete(host),
    setFrozen(host, isFrozen) {
      if (isFrozen) frozenHosts.add(host);
      else frozenHosts.delete(host);
    },
    cutOneWay: (from, to) => void cuts.add(`${from}|${to}`),
    filterCalls: (host, both) => void filters.set(host, both),
    answered: () => answered,
  };
}

/** A filter that takes fields out of an object, as if it were never sent. */
export function withoutFields(...fields: string[]): MessageFilter {
  return (message) =>
    Object.fromEntries(
      Object.entries(message as object).filter(
        ([key]) => !fields.includes(key),
      ),
    );
}

function asMessage(value: unknown): unknown {
  return value === undefined ? null : JSON.parse(JSON.stringify(value));
}
