/** Measurements; each is a command of `npm run bench`. */
export * from "./bench_command.ts";
