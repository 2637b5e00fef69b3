/** What every measurement is. */

/** One measurement; its last line holds the figures. */
export interface BenchCommand {
  readonly summary: string;
  /** Runs with the words after the name; resolves to the exit code. */
  run(words: readonly string[]): Promise<number>;
}

/** Commands by name, each loaded only when it is asked for. */
export const benchCommands: Readonly<
  Record<string, () => Promise<BenchCommand>>
> = {
  capacity: async () =>
    (await import("./capacity/capacity_bench.ts")).capacityBench,
  throughput: async () =>
    (await import("./throughput/throughput_bench.ts")).throughputBench,
  recovery: async () =>
    (await import("./answers/recovery_command.ts")).recoveryCommand,
  streams: async () =>
    (await import("./answers/streams_command.ts")).streamsCommand,
};
