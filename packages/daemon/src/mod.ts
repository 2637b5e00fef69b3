/** The daemon, as a library for its own entry file and for tests. */

export { sendStream } from "./answer_stream.ts";
export * from "./daemon.ts";
