/** Publishes note after note; each recalls the version before. */
import { type Deployment, KANEM_LAYERS } from "@rosemarypin/launcher";
import {
  formatAddress,
  type NotePhase,
  type NoteStatus,
  noteStatusSchema,
  publishAnswerSchema,
} from "@rosemarypin/schemas";
import { request } from "undici";

const POLL_MS = 10;
const IN_FORCE_WITHIN_MS = 30_000;

/** The times of one recall, by this process's clock. */
export interface RecallRound {
  /** The version that the note withdrew. */
  readonly version: string;
  /** Taken before the publish was sent, so no time is left out. */
  readonly sentAt: number;
  readonly recordedAt: number;
  readonly acceptedAt: number;
  readonly inForceAt: number;
}

/** The version that answers under note `number`; note `number + 1` recalls it. */
export function versionOf(number: number): string {
  return `v${number}`;
}

/** Publishes the first note and waits until it is in force. */
export async function publishFirst(deployment: Deployment): Promise<void> {
  const note = { supersedes: 0, publishId: "bench-note-1", reason: "bench" };
  const both = [added(deployment, 1), added(deployment, 2)];
  await publish(deployment, { ...note, added: both });
  await waitFor(deployment, { number: 1, phase: "in_force" });
}

/** Recalls the version of note `number - 1` by note `number`. */
export async function recallOnce(
  deployment: Deployment,
  number: number,
): Promise<RecallRound> {
  const version = versionOf(number - 1);
  const sentAt = performance.now();
  await publishRecall(deployment, number);
  const recordedAt = performance.now();
  const acceptedAt = await waitFor(deployment, { number, phase: "accepted" });
  const inForceAt = await waitFor(deployment, { number, phase: "in_force" });
  return { version, sentAt, recordedAt, acceptedAt, inForceAt };
}

/**
 * Publishes note `number`: it recalls the version that answers, so that the
 * next one does, and adds one more that engines load meanwhile.
 */
export async function publishRecall(
  deployment: Deployment,
  number: number,
  options: AdminChoice = {},
): Promise<void> {
  const version = versionOf(number - 1);
  const { model } = deployment.plan.shape;
  const note = {
    supersedes: number - 1,
    publishId: `bench-note-${number}`,
    reason: "bench",
    added: [added(deployment, number + 1)],
    withdrawn: [{ kind: "version", model, version }],
  };
  await publish(deployment, note, options);
}

/** Which instance's administration API to ask. */
export interface AdminChoice {
  /** Index of the instance; the first if left out. */
  readonly via?: number;
}

function added(deployment: Deployment, number: number) {
  const version = versionOf(number);
  return {
    kind: "version",
    model: deployment.plan.shape.model,
    version,
    layers: KANEM_LAYERS,
    layerSets: [{ name: `set-${version}`, from: 0, to: KANEM_LAYERS }],
    serve: false,
  };
}

async function publish(
  deployment: Deployment,
  note: object,
  options: AdminChoice = {},
): Promise<void> {
  const body = JSON.stringify(note);
  const call = { method: "POST", body, ...options } as const;
  publishAnswerSchema.parse(await callAdmin(deployment, call));
}

/** Status of note `number`. */
export async function readStatus(
  deployment: Deployment,
  number: number,
  options: AdminChoice = {},
): Promise<NoteStatus> {
  const path = `/${number}/status`;
  const call = { method: "GET", path, ...options } as const;
  return noteStatusSchema.parse(await callAdmin(deployment, call));
}

/** Waits until a note has come so far; resolves to when it had. */
export async function waitFor(
  deployment: Deployment,
  wanted: AdminChoice & {
    readonly number: number;
    readonly phase: NotePhase;
  },
): Promise<number> {
  const end = performance.now() + IN_FORCE_WITHIN_MS;
  let heldBackBy = "";
  while (performance.now() < end) {
    const status = await readStatus(deployment, wanted.number, wanted);
    if (status.phase === wanted.phase || status.phase === "in_force") {
      return performance.now();
    }
    heldBackBy = nameUnconfirmed(status);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(
    `note ${wanted.number} did not get ${wanted.phase} in time: ${heldBackBy}`,
  );
}

function nameUnconfirmed({ instances, engines }: NoteStatus): string {
  return [...instances, ...engines]
    .filter(({ state }) => state !== "confirmed" && state !== "stopped")
    .map(({ id, state, detail }) => `${id} ${state} (${detail})`)
    .join(", ");
}

async function callAdmin(
  deployment: Deployment,
  call: AdminChoice & {
    readonly method: "GET" | "POST";
    readonly path?: string;
    readonly body?: string;
  },
): Promise<unknown> {
  const { daemons, shape } = deployment.plan;
  const address = daemons[call.via ?? 0]?.instance.addresses.admin;
  if (!address) throw new Error("the deployment has an instance");
  const url = `http://${formatAddress(address)}/v1/notes${call.path ?? ""}`;
  const response = await request(url, {
    method: call.method,
    headers: {
      authorization: `Bearer ${shape.adminKey}`,
      "content-type": "application/json",
    },
    body: call.body ?? null,
  });
  return response.body.json();
}
