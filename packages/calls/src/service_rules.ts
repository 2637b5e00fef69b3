/** Which calls of a service may be made, and how two calls compare. */
import { createHash } from "node:crypto";
import type { ServiceRequest } from "@rosemarypin/backends";
import { type NoteKeeper, permitService } from "@rosemarypin/release";
import type { CallRule, ServiceSettings } from "@rosemarypin/schemas";
import {
  badCall,
  type CallFailure,
  notRun,
  withdrawnBy,
} from "./call_failure.ts";

const NO_NOTE_RETRY_SECONDS = 2;

/**
 * Why the release note does not allow the service, if so. An instance that
 * was frozen finds calls in its sockets before it hears of a recall: the note
 * is made sure of after any pause, not only looked at.
 */
export async function refuseByNote(
  service: string,
  keeper: Pick<NoteKeeper, "fresh">,
): Promise<CallFailure | null> {
  const record = await keeper.fresh();
  if (!record) {
    return notRun("no_release_note", {
      message: "this instance has no release note yet; try again",
      retryAfterSeconds: NO_NOTE_RETRY_SECONDS,
    });
  }
  const permission = permitService(record, service);
  if (permission.kind === "service") return null;
  if (permission.kind === "withdrawn") {
    return withdrawnBy(permission.number, {
      what: `service '${service}'`,
      reason: permission.reason,
    });
  }
  return badCall("unknown_service", {
    message: `service '${service}' is not in release note ${record.number}`,
    status: 404,
  });
}

/** The rule of the settings that a request falls under. */
export function findRule(
  service: ServiceSettings,
  request: ServiceRequest,
): CallRule | undefined {
  const path = request.path.split("?")[0] ?? "/";
  return service.calls.find(
    (rule) => rule.method === request.method && matches(rule.path, path),
  );
}

/** `*` in a rule stands for one segment of the path. */
function matches(pattern: string, path: string): boolean {
  const wanted = pattern.split("/");
  const given = path.split("/");
  if (wanted.length !== given.length) return false;
  return wanted.every((part, index) => part === "*" || part === given[index]);
}

/** Digest that tells another call by the same key. */
export function fingerprintOf(request: ServiceRequest): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("hex");
}
