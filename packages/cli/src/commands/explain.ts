/** The command that says why something is answered or not. */
import {
  type Explain,
  explainSchema,
  type RequestRecord,
  type RequestTrace,
  requestTraceSchema,
} from "@rosemarypin/schemas";
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
       rosemarypin explain REQUEST_ID

Says which version answers, or that it is withdrawn or unknown, and which line
of which note decided. REQUEST.json is the body of a completion request.

REQUEST_ID is the x-request-id of a request: says on which instance it ran, how
it ended, by which version and note, and why it was refused. Each instance
keeps its latest 4,096 requests in memory; of older ones, look for request=ID
in the logs.`,
  async run({ admin, output, words, flags }) {
    if (REQUEST_ID.test(words[0] ?? "")) {
      const path = `/v1/requests/${words[0]}`;
      const trace = await admin.get(path, requestTraceSchema);
      show(output, trace, { render: () => renderTrace(trace, output) });
      return exitCodes.ok;
    }
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

function renderTrace(trace: RequestTrace, output: Output): string {
  const records = trace.records.map((record) => renderRecord(record, output));
  const silent =
    trace.silent.length > 0
      ? [`could not be asked: ${trace.silent.join(", ")}`]
      : [];
  return [...records, ...silent].join("\n\n");
}

const kinds: Readonly<Record<RequestRecord["kind"], string>> = {
  answer: "answer of model",
  resumed_answer: "rest of an answer of model",
  service_call: "call of service",
};

function renderRecord(record: RequestRecord, output: Output): string {
  const { kind, name, organisation, instance, outcome, code, message } = record;
  const reason = code === undefined ? [] : [`${code}: ${message ?? ""}`];
  const again =
    record.retryAfterSeconds === undefined
      ? []
      : [`told to come back after ${record.retryAfterSeconds} s`];
  return [
    `${kinds[kind]} ${name}: ${paintState(output, outcome)}`,
    ...reason,
    ...again,
    `for ${organisation}, on ${instance}, ${describeTime(record)}`,
    ...describeAnswer(record),
  ].join("\n");
}

function describeTime({ startedAt, durationMs }: RequestRecord): string {
  const from = `from ${new Date(startedAt).toISOString()}`;
  return durationMs === undefined
    ? `${from} on`
    : `${from} for ${durationMs} ms`;
}

function describeAnswer(record: RequestRecord): string[] {
  const { version, noteNumber, attempts, tokens, firstTokenMs } = record;
  const { status, repeated } = record;
  const facts = [
    version === undefined ? [] : `version ${version} by note ${noteNumber}`,
    attempts === undefined ? [] : `attempts ${attempts}`,
    tokens === undefined ? [] : `tokens ${tokens}`,
    firstTokenMs === undefined ? [] : `first after ${firstTokenMs} ms`,
    status === undefined ? [] : `status ${status}`,
    repeated === true ? "given again from the record of its key" : [],
  ].flat();
  return facts.length === 0 ? [] : [facts.join(", ")];
}
