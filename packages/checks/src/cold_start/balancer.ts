/**
 * The platform's load balancer: asks every instance once a second whether it is
 * ready, and gives new connections to those of the caller's failure domain.
 */
import { get } from "node:http";

const CHECK_INTERVAL_MS = 1_000;
const CHECK_TIMEOUT_MS = 1_000;
/** Failed checks in a row after which an instance gets no new connections. */
const MAX_MISSES = 2;

export interface BalancedInstance {
  readonly domain: string;
  readonly url: string;
  readonly readyUrl: string;
}

/** Chooses an instance of the domain, other than those that were tried. */
export type ChooseInstance = (
  domain: string,
  tried: ReadonlySet<string>,
) => BalancedInstance;

export interface Balancer {
  /** URLs of the instances that get new connections. */
  ready(): readonly string[];
  stop(): void;
}

/** Starts to check the instances. */
export function startBalancer(
  instances: readonly BalancedInstance[],
): Balancer {
  const misses = new Map<string, number>();
  const timers = instances.map((instance, index) => {
    const delayMs = (index / instances.length) * CHECK_INTERVAL_MS;
    return setTimeout(() => {
      timers[index] = setInterval(() => check(instance), CHECK_INTERVAL_MS);
    }, delayMs);
  });

  function check({ readyUrl, url }: BalancedInstance): void {
    const record = (isReady: boolean) =>
      misses.set(url, isReady ? 0 : (misses.get(url) ?? 0) + 1);
    const request = get(
      readyUrl,
      { agent: false, timeout: CHECK_TIMEOUT_MS },
      (response) => {
        record(response.statusCode === 200);
        response.resume();
      },
    );
    request.on("timeout", () => request.destroy(new Error("timed out")));
    request.on("error", () => record(false));
  }

  return {
    ready: () =>
      instances
        .map(({ url }) => url)
        .filter((url) => (misses.get(url) ?? MAX_MISSES) < MAX_MISSES),
    stop() {
      for (const timer of timers) clearInterval(timer);
    },
  };
}

/**
 * Creates the choice among instances. If fewer than half of those in a domain
 * are ready, all of them are used.
 */
export function createInstanceChoice(
  instances: readonly BalancedInstance[],
  isReady: (url: string) => boolean,
): ChooseInstance {
  let turn = 0;
  return (domain, tried) => {
    const own = instances.filter((each) => each.domain === domain);
    const ready = own.filter(({ url }) => isReady(url));
    const used = ready.length * 2 < own.length ? own : ready;
    const fresh = used.filter(({ url }) => !tried.has(url));
    const choices = fresh.length > 0 ? fresh : used;
    turn += 1;
    const chosen = choices[(turn * 7_919) % choices.length];
    if (!chosen) throw new Error(`no instance in ${domain}`);
    return chosen;
  };
}
