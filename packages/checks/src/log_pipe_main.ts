#!/usr/bin/env node
/** Entry of `npm run check:logs`: an unread log pipe must block nothing. */
import meow from "meow";
import { runLogPipe } from "./log_pipe/log_pipe_run.ts";

const command = meow(
  `
  Usage
    $ npm run check:logs -- --seconds 60 --callers 24

  Runs the real program under load twice: with its output read, and with its
  output a pipe that nobody reads. Prints requests, latencies and memory.

  Exit codes
    0  each request was answered both times
    1  some were not
`,
  {
    importMeta: import.meta,
    flags: {
      seconds: { type: "number", default: 60 },
      callers: { type: "number", default: 24 },
    },
  },
);

const { seconds, callers } = command.flags;
for (const readsOutput of [true, false]) {
  const result = await runLogPipe({
    durationMs: seconds * 1_000,
    leastAnswered: 1,
    callers,
    readsOutput,
  });
  const { answered, failed, latency, residentMb } = result;
  console.log(
    `output_read=${readsOutput} answered=${answered} failed=${failed} ` +
      `p50_ms=${latency.p50.toFixed(1)} p99_ms=${latency.p99.toFixed(1)} ` +
      `resident_mb_first=${residentMb.first} resident_mb_last=${residentMb.last} ` +
      `resident_mb_most=${residentMb.most}`,
  );
  if (failed > 0 || answered === 0) process.exitCode = 1;
}
process.exit(process.exitCode ?? 0);
