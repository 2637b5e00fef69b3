/** The command that tells a request's story from logs alone. */
import type { Command } from "../command.ts";
import { usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { readText } from "../files.ts";
import { readLog, type StoryLine, tellStory } from "../log_story.ts";
import { show } from "../output.ts";

/** Log files that one command reads. */
const MOST_FILES = 512;
/** Read as a file, it stands for standard input. */
const STANDARD_INPUT = "-";

const trace: Command = {
  name: "trace",
  summary: "tell from logs what happened to a request or a server",
  words: MOST_FILES + 1,
  help: `Usage: rosemarypin trace ID FILE...

Reads logs of one or several instances (- for standard input) and prints in
order the lines about ID: a request, a backend server, or a configuration's
version; for a request also what the instance came to believe meanwhile of the
servers it met (server), and of the store and the configuration (instance).
Needs no running instance.`,
  async run({ output, words }) {
    const [id, ...files] = words;
    if (id === undefined || files.length === 0) {
      throw usageError("trace needs an id and at least one log file");
    }
    const lines = files.flatMap((file) =>
      readLog(file, readText(file === STANDARD_INPUT ? "/dev/stdin" : file)),
    );
    const story = tellStory(lines, id);
    if (story.length === 0) {
      output.writeError(`rosemarypin: no line of these logs names ${id}`);
      return exitCodes.failed;
    }
    show(output, story, { render: () => story.map(renderLine).join("\n") });
    return exitCodes.ok;
  },
};

/** The command `trace`. */
export const traceCommands: readonly Command[] = [trace];

function renderLine(line: StoryLine): string {
  const time = new Date(line.at).toISOString().slice(11, 23);
  const fields = Object.entries(line.fields)
    .map(([key, value]) => `${key}=${value}`)
    .join(" ");
  const role = line.role.padEnd(8);
  return `${time} ${line.source} ${role} ${line.event} ${fields}`;
}
