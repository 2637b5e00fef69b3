/** The command that says why something is answered or not. */
import { type Explain, explainSchema } from "@rosemarypin/schemas";
import { z } from "zod";
import type { Command, CommandFlags } from "../command.ts";
import { usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { readText } from "../files.ts";
import { type Output, paintState, show } from "../output.ts";

const REQUEST_ID = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;

const requestSchema = z.object({
  model: z.string(),
  adapter: z.string().optional(),
});

const explain: Command = {
  name: "explain",
  summary: "say why a model, service or request is answered or not",
  words: 1,
  flags: ["adapter", "service"],
  help: `Usage: rosemarypin explain MODEL [--adapter ADAPTER]
       rosemarypin explain SERVICE --service
       rosemarypin explain REQUEST.json

Says which version answers, or that it is withdrawn or unknown, and which line
of which note decided. REQUEST.json is the body of a completion request.
Instances keep no record of requests that ended; for one of those, look for
request=ID in their logs.`,
  async run({ admin, output, words, flags }) {
    const query = new URLSearchParams(subjectOf(words[0], flags));
    const value = await admin.get(`/v1/explain?${query}`, explainSchema);
    show(output, value, { render: () => renderExplain(value, output) });
    return exitCodes.ok;
  },
};

/** The command `explain`. */
export const explainCommands: readonly Command[] = [explain];

function subjectOf(
  word: string | undefined,
  flags: CommandFlags,
): Record<string, string> {
  if (word === undefined) throw usageError("name a model: explain MODEL");
  if (REQUEST_ID.test(word)) {
    throw usageError(
      "instances keep no record of requests that ended; " +
        `look for request=${word} in their logs, or explain its model`,
    );
  }
  if (flags.service) return { service: word };
  if (word.endsWith(".json")) return subjectOfRequest(word);
  const { adapter } = flags;
  return adapter === undefined ? { model: word } : { model: word, adapter };
}

function subjectOfRequest(file: string): Record<string, string> {
  const text = readText(file);
  try {
    const { model, adapter } = requestSchema.parse(JSON.parse(text));
    return adapter === undefined ? { model } : { model, adapter };
  } catch {
    throw usageError(`${file} is no completion request with a model, as JSON`);
  }
}

function renderExplain(value: Explain, output: Output): string {
  const { subject, verdict, number, message, decidedBy } = value;
  const adapter =
    subject.adapter === undefined ? "" : ` with adapter ${subject.adapter}`;
  const title = `${subject.kind} ${subject.name}${adapter}: ${paintState(output, verdict)}`;
  const decision = decidedBy
    ? [
        `decided by note ${decidedBy.number}, ${decidedBy.line}: ${decidedBy.reason}`,
      ]
    : [];
  return [title, message, ...decision, `note in use: ${number}`].join("\n");
}
