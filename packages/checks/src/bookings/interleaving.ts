/** Runs real asynchronous code in an order that a seed decides. */
import { AsyncLocalStorage } from "node:async_hooks";
import type { SeededRandom } from "../seeded_random.ts";
import { installVirtualClock } from "./virtual_clock.ts";

/** What stands for bytes on their way; it never crashes or freezes. */
const NETWORK = "network";
const LARGEST_STEP_COUNT = 20_000;
const TIMER_CHANCE = 0.1;
const THAW_CHANCE = 0.02;

/** One for all histories: each storage slows every promise down. */
const storage = new AsyncLocalStorage<string>();

/** One process whose code stops at any await point of the fakes. */
export interface SimulatedProcess {
  readonly name: string;
}

export interface Interleaving {
  /** Runs `work` as code of a process. */
  run<T>(process: SimulatedProcess, work: () => Promise<T>): Promise<T>;
  /** Runs `work` outside all processes: a crash does not stop it. */
  deliver<T>(work: () => Promise<T>): Promise<T>;
  /** An await point: the seed decides who goes on, and when. */
  pause(label: string): Promise<void>;
  /** A wait by the virtual clock. */
  sleep(durationMs: number): Promise<void>;
  /** Nothing of the process ever runs again. */
  crash(process: SimulatedProcess): void;
  /** Nothing of the process runs until it is thawed. */
  freeze(process: SimulatedProcess): void;
  hasCrashed(process: SimulatedProcess): boolean;
  /** Notes something for the history. */
  note(event: string): void;
  readonly history: readonly string[];
  /** Goes on, with `beforeStep` each time, until nothing is left to do. */
  drive(beforeStep: () => void): Promise<void>;
  close(): void;
}

interface Waiting {
  readonly owner: string;
  readonly label: string;
  readonly resume: () => void;
}

/** Creates an empty interleaving; `close` gives the real clock back. */
export function createInterleaving(random: SeededRandom): Interleaving {
  const waiting: Waiting[] = [];
  const crashed = new Set<string>();
  const frozen = new Set<string>();
  const history: string[] = [];
  const owner = () => storage.getStore() ?? NETWORK;
  const clock = installVirtualClock(owner);

  function note(event: string): void {
    history.push(event);
  }

  function pause(label: string): Promise<void> {
    return new Promise((resolve) => {
      waiting.push({ owner: owner(), label, resume: resolve });
    });
  }

  function canRun(name: string): boolean {
    return !crashed.has(name) && !frozen.has(name);
  }

  /** Does one thing; `false` when nothing is left. */
  function step(): boolean {
    const runnable = waiting.filter((entry) => canRun(entry.owner));
    const [first, ...rest] = runnable;
    if (!first || random.chance(TIMER_CHANCE)) {
      if (clock.fireNext(canRun)) return true;
    }
    if (first) {
      const chosen = random.pick([first, ...rest]);
      waiting.splice(waiting.indexOf(chosen), 1);
      note(`${chosen.owner}: ${chosen.label}`);
      chosen.resume();
      return true;
    }
    return thawOne();
  }

  function thawOne(): boolean {
    const [name] = frozen;
    if (name === undefined) return false;
    clock.advance(random.between(0, 20_000));
    frozen.delete(name);
    note(`${name} goes on after a freeze`);
    return true;
  }

  return {
    run: (process, work) => storage.run(process.name, work),
    deliver: (work) => storage.run(NETWORK, work),
    pause,
    sleep: (durationMs) =>
      new Promise((resolve) => setTimeout(resolve, durationMs)),
    crash({ name }) {
      crashed.add(name);
      note(`${name} crashes`);
    },
    freeze({ name }) {
      frozen.add(name);
      note(`${name} freezes`);
    },
    hasCrashed: ({ name }) => crashed.has(name),
    note,
    history,
    async drive(beforeStep) {
      for (let count = 0; count < LARGEST_STEP_COUNT; count++) {
        await clock.settle();
        beforeStep();
        if (frozen.size > 0 && random.chance(THAW_CHANCE)) thawOne();
        if (!step()) return;
      }
      throw new Error("the interleaving does not come to an end");
    },
    close: clock.uninstall,
  };
}
