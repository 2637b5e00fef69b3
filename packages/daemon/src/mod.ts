/** The daemon, as a library for its own entry file and for tests. */
export * from "./daemon.ts";
