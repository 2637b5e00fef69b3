/** What ran where: the only thing that checks of answers believe. */
import { appendFileSync } from "node:fs";

import type { ImportedCache } from "./sequence.ts";

/** A range of layers that ran on following positions of one request. */
export interface RunEntry {
  readonly engine: string;
  readonly incarnation: number;
  readonly requestId: string;
  readonly attempt: number;
  readonly from: number;
  readonly to: number;
  readonly position: number;
  readonly count: number;
  /** When the batch ended, in milliseconds since the epoch. */
  readonly at: number;
  /** Set on the first run that follows an imported KV cache. */
  readonly imported?: ImportedCache;
}

/** Takes entries in the order in which they ran. */
export interface RunJournal {
  append(entries: readonly RunEntry[]): void;
}

/** Keeps entries in a file, which outlives an engine that is killed. */
export function createFileJournal(path: string): RunJournal {
  return {
    append(entries) {
      const lines = entries.map((entry) => `${JSON.stringify(entry)}\n`);
      appendFileSync(path, lines.join(""));
    },
  };
}
