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
  membership: async () =>
    (await import("./membership/membership_bench.ts")).membershipBench,
  store: async () => (await import("./store/store_bench.ts")).storeBench,
  bookings: async () => (await import("./bookings/bookings_bench.ts")).command,
  capacity: async () =>
    (await import("./capacity/capacity_bench.ts")).capacityBench,
  limits: async () => (await import("./limits/limits_bench.ts")).limitsBench,
  throughput: async () =>
    (await import("./throughput/throughput_bench.ts")).throughputBench,
  confirmations: async () =>
    (await import("./recall/confirmations_command.ts")).confirmationsCommand,
  placement: async () =>
    (await import("./placement/placement_bench.ts")).placementBench,
  recall: async () =>
    (await import("./recall/recall_command.ts")).recallCommand,
  recovery: async () =>
    (await import("./answers/recovery_command.ts")).recoveryCommand,
  streams: async () =>
    (await import("./answers/streams_command.ts")).streamsCommand,
};
