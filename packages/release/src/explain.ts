/** Explains whether a model or service is answered and which line decided. */

import type {
  Explain,
  NoteLineReference,
  NoteRecord,
  Withdrawal,
  WithdrawnLine,
} from "@rosemarypin/schemas";
import {
  type Permission,
  permitAnswer,
  permitService,
} from "./answer_permission.ts";

/** What to explain. */
export type ExplainSubject =
  | {
      readonly kind: "model";
      readonly name: string;
      readonly adapter?: string | undefined;
    }
  | { readonly kind: "service"; readonly name: string };

export interface ExplainOptions {
  /** The note in use; `null` for none. */
  readonly record: NoteRecord | null;
  /** Earlier notes, used to find the line that decided. */
  readonly history?: readonly NoteRecord[];
}

/** Explains one subject from the note in use. */
export function explain(
  subject: ExplainSubject,
  options: ExplainOptions,
): Explain {
  const { record } = options;
  if (!record) {
    const message = "this instance has no release note that it may answer from";
    return { number: 0, subject, verdict: "no_note", message };
  }
  const { number } = record;
  const permission =
    subject.kind === "model"
      ? permitAnswer(record, {
          model: subject.name,
          adapter: subject.adapter,
        })
      : permitService(record, subject.name);
  switch (permission.kind) {
    case "allowed":
      return {
        number,
        subject,
        ...explainAllowed(subject, permission, options),
      };
    case "service":
      return {
        number,
        subject,
        verdict: "answered",
        decidedBy: findAdded(
          options,
          (line) => line.kind === "service" && line.service === subject.name,
        ),
        message: `service '${subject.name}' may be called`,
      };
    case "withdrawn":
      return { number, subject, ...explainWithdrawn(subject, options) };
    case "unknown":
      return {
        number,
        subject,
        verdict: "unknown",
        message: `no note in use names ${permission.what}`,
      };
  }
}

function explainAllowed(
  subject: ExplainSubject,
  permission: Extract<Permission, { kind: "allowed" }>,
  options: ExplainOptions,
) {
  const { version } = permission.version;
  const addedBy = permission.version.addedBy;
  const decidedBy =
    findServeLine(subject.name, { version, options }) ??
    findAdded(
      options,
      (line) =>
        line.kind === "version" &&
        line.model === subject.name &&
        line.version === version,
    );
  return {
    verdict: "answered" as const,
    version,
    decidedBy,
    message: `version '${version}', added by note ${addedBy}, answers model '${subject.name}'`,
  };
}

function explainWithdrawn(subject: ExplainSubject, options: ExplainOptions) {
  const withdrawal = options.record?.catalogue.withdrawn.findLast(({ line }) =>
    appliesTo(line, subject),
  );
  const decidedBy = withdrawal && referenceTo(withdrawal, options);
  const message = withdrawal
    ? `${describe(withdrawal.line)} was withdrawn by note ${withdrawal.number}: ${withdrawal.reason}`
    : "withdrawn";
  return { verdict: "withdrawn" as const, decidedBy, message };
}

/** Finds the last `changed` line of the model since the version was added. */
function findServeLine(
  model: string,
  wanted: { readonly version: string; readonly options: ExplainOptions },
): NoteLineReference | undefined {
  for (const record of newestFirst(wanted.options)) {
    const { note, number } = record;
    const index = note.changed.findLastIndex((line) => line.model === model);
    if (index >= 0) {
      const line = `changed[${index}]`;
      return { number, line, reason: note.reason };
    }
    const addsHere = note.added.some(
      (line) =>
        line.kind === "version" &&
        line.model === model &&
        line.version === wanted.version,
    );
    if (addsHere) return undefined;
  }
  return undefined;
}

function findAdded(
  options: ExplainOptions,
  matches: (line: NoteRecord["note"]["added"][number]) => boolean,
): NoteLineReference | undefined {
  for (const { note, number } of newestFirst(options)) {
    const index = note.added.findLastIndex(matches);
    if (index < 0) continue;
    return { number, line: `added[${index}]`, reason: note.reason };
  }
  return undefined;
}

function referenceTo(
  withdrawal: Withdrawal,
  options: ExplainOptions,
): NoteLineReference {
  const { number, reason } = withdrawal;
  const wanted = JSON.stringify(withdrawal.line);
  const note = newestFirst(options).find((record) => record.number === number);
  const index =
    note?.note.withdrawn.findIndex((line) => JSON.stringify(line) === wanted) ??
    -1;
  const line = index < 0 ? "withdrawn" : `withdrawn[${index}]`;
  return { number, line, reason };
}

function newestFirst({ record, history }: ExplainOptions): NoteRecord[] {
  const upTo = record?.number ?? 0;
  const notes = new Map<number, NoteRecord>();
  for (const note of history ?? []) notes.set(note.number, note);
  if (record) notes.set(record.number, record);
  return [...notes.values()]
    .filter(({ number }) => number <= upTo)
    .sort((a, b) => b.number - a.number);
}

function appliesTo(line: WithdrawnLine, subject: ExplainSubject): boolean {
  if (subject.kind === "service") {
    return line.kind === "service" && line.service === subject.name;
  }
  if (line.kind === "service" || line.model !== subject.name) return false;
  return line.kind !== "adapter" || line.adapter === subject.adapter;
}

function describe(line: WithdrawnLine): string {
  switch (line.kind) {
    case "service":
      return `service '${line.service}'`;
    case "version":
      return `version '${line.version}' of model '${line.model}'`;
    case "adapter":
      return `adapter '${line.adapter}' of model '${line.model}'`;
    case "layerSet":
      return `layer set '${line.layerSet}' of model '${line.model}'`;
  }
}
