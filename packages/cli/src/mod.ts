/** The command line, as a library for its entry file and for tests. */
export * from "./run_command.ts";
