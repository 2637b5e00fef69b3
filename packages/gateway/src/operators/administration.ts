/**
 * Administration API: release notes, status and explanations to read, and the
 * release of prompt parts from quarantine.
 */
import {
  type BackendView,
  type ClassDemandView,
  type ClassLevelView,
  type Explain,
  type FailureBody,
  type InstanceView,
  releasePartSchema,
  type Status,
} from "@rosemarypin/schemas";
import { z } from "zod";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import type { ConfigurationKeeper, Presence } from "../following/mod.ts";
import type { PromptQuarantine } from "../prompts/mod.ts";
import type { DemandBoard, ModelClassLevels } from "../streams/mod.ts";
import type { ReleaseHistory } from "./release_history.ts";

export interface AdministrationOptions {
  readonly instance: string;
  readonly failureDomain: string;
  readonly keeper: ConfigurationKeeper;
  readonly history: ReleaseHistory;
  readonly fleet: BackendFleet;
  readonly presence: Presence;
  readonly demandBoard: Pick<DemandBoard, "ofDomain">;
  readonly classLevels: Pick<ModelClassLevels, "levels">;
  readonly quarantine: Pick<PromptQuarantine, "parts" | "release">;
  readonly inProgress: () => number;
  readonly isDraining: () => boolean;
}

/** HTTP status and the body to encode as JSON. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly body: unknown;
}

export interface Administration {
  /** Answers a `GET` of the URL; `null` for an unknown path. */
  get(url: URL): AdministrationAnswer | null;
  /** Answers a `POST` with a JSON body; `null` for an unknown path. */
  post(url: URL, body: unknown): AdministrationAnswer | null;
}

/** Creates the administration API of one instance. */
export function createAdministration(
  options: AdministrationOptions,
): Administration {
  const { keeper, history, fleet } = options;
  const startedAt = Date.now();

  function status(): Status {
    const note = keeper.applied()?.version ?? 0;
    const services = [...(keeper.applied()?.services.keys() ?? [])];
    const classLevels = classLevelViews();
    const demand = services.flatMap(demandViews);
    const quarantine = [...options.quarantine.parts()];
    return {
      deployment: "platform",
      instance: options.instance,
      startedAt,
      note,
      phase: note === 0 ? "none" : "recorded",
      instances: [thisInstanceView(note), ...otherInstanceViews()],
      backends: services.flatMap((name) =>
        fleet.ofService(name).map(backendView),
      ),
      ...(classLevels.length > 0 ? { classLevels } : {}),
      ...(demand.length > 0 ? { demand } : {}),
      ...(quarantine.length > 0 ? { quarantine } : {}),
    };
  }

  function thisInstanceView(note: number): InstanceView {
    return {
      id: options.instance,
      failureDomain: options.failureDomain,
      state: "alive",
      note,
      draining: options.isDraining(),
      load: options.inProgress(),
      heardAgoMs: 0,
    };
  }

  /**
   * Other instances write a heartbeat to the store without the configuration
   * that they apply, so their `note` is 0.
   */
  function otherInstanceViews(): InstanceView[] {
    return options.presence.others().map((other) => ({
      id: other.instance,
      failureDomain: other.failureDomain,
      state: other.leaving ? "left" : other.isLive ? "alive" : "suspect",
      note: 0,
      draining: other.leaving,
      load: 0,
      heardAgoMs: other.heardAgoMs,
    }));
  }

  function classLevelViews(): ClassLevelView[] {
    return [...options.classLevels.levels()].flatMap(([service, levels]) =>
      levels.map((level) => ({ service, ...level })),
    );
  }

  function demandViews(service: string): ClassDemandView[] {
    const failureDomains = new Set([
      options.failureDomain,
      ...options.presence.others().map((other) => other.failureDomain),
    ]);
    return [...failureDomains].flatMap((failureDomain) =>
      [...(options.demandBoard.ofDomain(service, failureDomain) ?? [])].map(
        ([priority, demand]) => ({
          service,
          failureDomain,
          priority,
          ...demand,
        }),
      ),
    );
  }

  function backendView(server: BackendServer): BackendView {
    const { id, service, kind, failureDomain, held } = server;
    const isAvoided = fleet.detector.isAvoided(id);
    return {
      id,
      kind: kind === null ? "service" : "engine",
      name: service,
      failureDomain,
      state: server.leaving ? "leaving" : isAvoided ? "unreachable" : "ready",
      holds: held ? [`${held.from}-${held.to}`] : [],
      inFlight: 0,
      load: 0,
    };
  }

  function explainService(name: string): Explain {
    const applied = keeper.applied();
    const subject = { kind: "service" as const, name };
    const number = applied?.version ?? 0;
    const latestLine = history.latestLine("service", name);
    const decidedBy = latestLine && {
      ...latestLine,
      reason: "written to the store",
    };
    const decision = decidedBy ? { decidedBy } : {};
    if (!applied) {
      const message = "no configuration is in force yet";
      return { number, subject, verdict: "no_note", message };
    }
    if (applied.services.has(name)) {
      const routes = applied.routes
        .filter(({ shares }) => shares.some(({ service }) => service === name))
        .map(({ host, pathPrefix }) => `${host}${pathPrefix}`);
      const message = `routes (${routes.length}): ${routes.join(", ")}`;
      return { number, subject, verdict: "answered", ...decision, message };
    }
    const isWithdrawn = latestLine?.line.startsWith("withdrawn") === true;
    const verdict = isWithdrawn ? "withdrawn" : "unknown";
    const message = isWithdrawn
      ? "a later configuration removed it"
      : "no configuration in this instance's history contains it";
    return { number, subject, verdict, ...decision, message };
  }

  function showNote(number: number): AdministrationAnswer {
    const note = history.find(number);
    if (note) return { status: 200, body: note };
    return errorAnswer(404, `note ${number} is not in this instance's history`);
  }

  function releasePart(body: unknown): AdministrationAnswer {
    const parsed = releasePartSchema.safeParse(body);
    if (!parsed.success) return errorAnswer(400, z.prettifyError(parsed.error));
    if (options.quarantine.release(parsed.data))
      return { status: 200, body: { released: true } };
    return errorAnswer(404, "the part is not in quarantine");
  }

  function get({ pathname, searchParams }: URL): AdministrationAnswer | null {
    if (pathname === "/v1/notes") {
      return { status: 200, body: { notes: history.notes() } };
    }
    if (pathname === "/v1/status") return { status: 200, body: status() };
    if (pathname === "/v1/explain") {
      const name = searchParams.get("service");
      if (name) return { status: 200, body: explainService(name) };
      return errorAnswer(
        400,
        "no service given; usage: explain SERVICE --service",
      );
    }
    const number = /^\/v1\/notes\/(\d{1,15})$/.exec(pathname)?.[1];
    return number === undefined ? null : showNote(Number(number));
  }

  return {
    get,
    post: ({ pathname }, body) =>
      pathname === "/v1/quarantine/release" ? releasePart(body) : null,
  };
}

function errorAnswer(status: number, message: string): AdministrationAnswer {
  const code = status === 404 ? "unknown_note" : "bad_request";
  const requestId = crypto.randomUUID();
  const error: FailureBody["error"] = {
    outcome: "not_run",
    code,
    message,
    requestId,
  };
  return { status, body: { error } };
}
