/** Runs one call of a plain service. */
import { createHash } from "node:crypto";
import type {
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
  ServiceResult,
} from "@rosemarypin/backends";
import { type NoteKeeper, permitService } from "@rosemarypin/release";
import { orderServers } from "@rosemarypin/routing";
import type {
  CallRule,
  ClaimObject,
  ServiceSettings,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import {
  badCall,
  type CallFailure,
  failedRun,
  notRun,
  outcomeUnknown,
  withdrawnBy,
} from "./call_failure.ts";
import type { Claim, ClaimStore } from "./claims.ts";

const RETRY_SECONDS = 1;
const STORE_RETRY_SECONDS = 5;

const log = createLogger("service");

export interface ServiceCall {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string | undefined;
  readonly request: ServiceRequest;
}

export type ServiceCallResult =
  | {
      readonly kind: "answer";
      readonly answer: ServiceAnswer;
      /** Whether the answer is that of an earlier call by the same key. */
      readonly repeated: boolean;
    }
  | { readonly kind: "failed"; readonly failure: CallFailure };

export interface ServiceCallDependencies {
  readonly keeper: NoteKeeper;
  readonly services: readonly ServiceSettings[];
  readonly client: ServiceClient;
  readonly claims: ClaimStore;
  readonly failureDomain: string;
}

/** Runs a call: freely if it is idempotent, else at most once. */
export function createServiceCaller(dependencies: ServiceCallDependencies) {
  let turn = 0;

  return async (call: ServiceCall): Promise<ServiceCallResult> => {
    const refusal = checkNote(call, dependencies.keeper);
    if (refusal) return failed(refusal);
    const service = dependencies.services.find(
      ({ name }) => name === call.service,
    );
    const rule = service && findRule(service, call.request);
    if (!service || !rule) return failed(unknownCall(call));
    turn += 1;
    const context = { ...dependencies, service, turn };
    if (rule.idempotent) return runIdempotent(call, context);
    return runOnce(call, context);
  };
}

type Context = ServiceCallDependencies & {
  readonly service: ServiceSettings;
  readonly turn: number;
};

/** Tries servers in turn; repeating the call changes nothing. */
async function runIdempotent(
  call: ServiceCall,
  context: Context,
): Promise<ServiceCallResult> {
  let mayHaveRun = false;
  for (const server of orderServers(context.service, context)) {
    const result = await context.client.send(server.address, call.request, {
      timeoutMs: context.service.timeoutMs,
    });
    if (result.kind === "answer") return answered(result.answer, false);
    mayHaveRun ||= result.kind === "broken";
    logBroken(call, server.id, result);
  }
  const message = `no server of '${call.service}' answered; ask again`;
  const retryAfterSeconds = RETRY_SECONDS;
  return failed(
    mayHaveRun
      ? failedRun("no_answer", { message, retryAfterSeconds })
      : notRun("no_server", { message, retryAfterSeconds }),
  );
}

/** Claims the key durably, then sends the call to one server. */
async function runOnce(
  call: ServiceCall,
  context: Context,
): Promise<ServiceCallResult> {
  const { idempotencyKey } = call;
  if (idempotencyKey === undefined) return failed(keyMissing(call));
  const fingerprint = fingerprintOf(call.request);
  const result = await context.claims.claim({
    ...call,
    idempotencyKey,
    fingerprint,
  });
  if (result.kind === "unavailable") {
    log.warn("claim_failed", {
      request: call.requestId,
      reason: result.detail,
    });
    return failed(
      notRun("claims_unavailable", {
        message: "the call cannot be recorded now, so it was not sent",
        retryAfterSeconds: STORE_RETRY_SECONDS,
      }),
    );
  }
  if (result.kind === "taken") return replay(result.object, fingerprint);
  return sendClaimed(call, { context, claim: result.claim });
}

async function sendClaimed(
  call: ServiceCall,
  options: { readonly context: Context; readonly claim: Claim },
): Promise<ServiceCallResult> {
  const { context, claim } = options;
  for (const server of orderServers(context.service, context)) {
    const result = await context.client.send(server.address, call.request, {
      timeoutMs: context.service.timeoutMs,
    });
    if (result.kind === "answer") {
      await context.claims.settle(claim, storedAnswer(result.answer));
      return answered(result.answer, false);
    }
    logBroken(call, server.id, result);
    if (result.kind === "broken") {
      const reason = result.detail;
      await context.claims.settle(claim, { kind: "unknown", reason });
      return failed(mayHaveRun());
    }
  }
  await context.claims.settle(claim, { kind: "released" });
  return failed(
    notRun("no_server", {
      message: `no server of '${call.service}' took the call; ask again`,
      retryAfterSeconds: RETRY_SECONDS,
    }),
  );
}

/** The second caller gets the first answer, or the truth that none is known. */
function replay(object: ClaimObject, fingerprint: string): ServiceCallResult {
  if (object.fingerprint !== fingerprint) {
    return failed(
      badCall("key_reused", {
        message: "the idempotency-key was used for another call; use a new one",
        status: 422,
      }),
    );
  }
  if (object.state.kind === "answered") {
    const { status, contentType, body } = object.state;
    const answer = { status, contentType, body: Buffer.from(body, "base64") };
    return answered(answer, true);
  }
  return failed(mayHaveRun());
}

function checkNote(call: ServiceCall, keeper: NoteKeeper): CallFailure | null {
  const record = keeper.current();
  if (!record) {
    return notRun("no_release_note", {
      message: "this instance has no release note yet; try again",
      retryAfterSeconds: RETRY_SECONDS,
    });
  }
  const permission = permitService(record, call.service);
  if (permission.kind === "service") return null;
  if (permission.kind === "withdrawn") {
    return withdrawnBy(permission.number, {
      what: `service '${call.service}'`,
      reason: permission.reason,
    });
  }
  return badCall("unknown_service", {
    message: `service '${call.service}' is not in release note ${record.number}`,
    status: 404,
  });
}

function findRule(
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

function fingerprintOf(request: ServiceRequest): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("hex");
}

function storedAnswer(answer: ServiceAnswer): ClaimObject["state"] {
  const { status, contentType } = answer;
  const body = answer.body.toString("base64");
  return { kind: "answered", status, contentType, body };
}

function answered(answer: ServiceAnswer, repeated: boolean): ServiceCallResult {
  return { kind: "answer", answer, repeated };
}

function failed(failure: CallFailure): ServiceCallResult {
  return { kind: "failed", failure };
}

function mayHaveRun(): CallFailure {
  return outcomeUnknown(
    "may_have_run",
    "the call may have run and is not repeated; check with the service",
  );
}

function keyMissing(call: ServiceCall): CallFailure {
  const { method, path } = call.request;
  return badCall("key_missing", {
    message: `${method} ${path} may not be repeated; send an idempotency-key`,
    status: 400,
  });
}

function unknownCall(call: ServiceCall): CallFailure {
  const { method, path } = call.request;
  return badCall("unknown_call", {
    message: `the settings of '${call.service}' have no ${method} ${path}`,
    status: 404,
  });
}

function logBroken(
  call: ServiceCall,
  server: string,
  result: Exclude<ServiceResult, { kind: "answer" }>,
): void {
  log.warn("server_failed", {
    request: call.requestId,
    server,
    kind: result.kind,
    reason: result.detail,
  });
}
