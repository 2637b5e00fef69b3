/** Permission checks and rules for calls, and fingerprints of requests. */
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

const NO_NOTE_RETRY_AFTER_SECONDS = 2;

/**
 * Returns a failure if the release note does not permit the service, else
 * `null`. After a freeze, an instance reads buffered calls from its sockets
 * before it receives a recall, so the note is confirmed as current after any
 * pause of the process.
 */
export async function checkReleaseNote(
  service: string,
  keeper: Pick<NoteKeeper, "fresh">,
): Promise<CallFailure | null> {
  const record = await keeper.fresh();
  if (!record) {
    return notRun("no_release_note", {
      message: "this instance has no release note yet; retry later",
      retryAfterSeconds: NO_NOTE_RETRY_AFTER_SECONDS,
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

/** Returns the first rule in the settings that matches the request. */
export function findRule(
  service: ServiceSettings,
  request: ServiceRequest,
): CallRule | undefined {
  const path = request.path.split("?")[0] ?? "/";
  return service.calls.find(
    (rule) => rule.method === request.method && matches(rule.path, path),
  );
}

/** `*` in a pattern matches exactly one path segment. */
function matches(pattern: string, path: string): boolean {
  const patternSegments = pattern.split("/");
  const pathSegments = path.split("/");
  if (patternSegments.length !== pathSegments.length) return false;
  return patternSegments.every(
    (part, index) => part === "*" || part === pathSegments[index],
  );
}

/** Digest that detects a key that is reused for a different request. */
export function fingerprintOf(request: ServiceRequest): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("hex");
}
