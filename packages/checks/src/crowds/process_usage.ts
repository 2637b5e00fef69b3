/** What a process of this machine uses, as the kernel counts it. */
import { readdirSync, readFileSync } from "node:fs";

const BYTES_PER_KB = 1_024;
const LISTENING = "0A";

export interface ProcessUsage {
  readonly residentBytes: number;
  /** Received on its listening ports and not read yet. */
  readonly unreadBytes: number;
  readonly descriptors: number;
}

/** Reads the use of a process that lives; `null` once it has ended. */
export function readUsage(
  pid: number,
  ports: readonly number[],
): ProcessUsage | null {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const residentKb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
    if (residentKb === 0) return null;
    return {
      residentBytes: residentKb * BYTES_PER_KB,
      unreadBytes: readUnreadBytes(new Set(ports)),
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return null;
  }
}

/** Bytes that wait in the kernel on connections to these local ports. */
function readUnreadBytes(ports: ReadonlySet<number>): number {
  const [, ...lines] = readFileSync("/proc/net/tcp", "utf8").split("\n");
  let bytes = 0;
  for (const line of lines) {
    const [, local = "", , state, queues = ""] = line.trim().split(/\s+/);
    const port = Number.parseInt(local.split(":")[1] ?? "", 16);
    if (state === LISTENING || !ports.has(port)) continue;
    bytes += Number.parseInt(queues.split(":")[1] ?? "0", 16);
  }
  return bytes;
}

/** The most that was seen of a process since the watch began. */
export interface UsageWatch {
  stop(): {
    /** Resident and unread bytes together. */
    readonly memoryBytes: number;
    readonly descriptors: number;
  };
}

const SAMPLE_MS = 50;

export function watchUsage(pid: number, ports: readonly number[]): UsageWatch {
  let memoryBytes = 0;
  let descriptors = 0;
  function sample(): void {
    const usage = readUsage(pid, ports);
    if (!usage) return;
    const { residentBytes, unreadBytes } = usage;
    memoryBytes = Math.max(memoryBytes, residentBytes + unreadBytes);
    descriptors = Math.max(descriptors, usage.descriptors);
  }
  const timer = setInterval(sample, SAMPLE_MS);
  return {
    stop() {
      clearInterval(timer);
      sample();
      return { memoryBytes, descriptors };
    },
  };
}
