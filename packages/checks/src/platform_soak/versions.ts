/** Versions of the configuration in a run, and what they allow a request. */
import type { Deployment } from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";
import {
  keyOf,
  ORGANISATIONS,
  routeOf,
  type SoakRequest,
} from "./soak_request.ts";
import { sleep } from "./timing.ts";

/** Service that no route of the first version uses. */
export const SPARE_SERVICE = "annex";
/** Ids of its servers. */
export const SPARE_SERVERS: ReadonlySet<string> = new Set(["p-2", "p-3"]);
/** Time until a version is in force at all instances that reach the store. */
const APPLY_MS = 2_000;
const ROUTES = ["ask", "tell", "say", "order", "look"] as const;
const PLAIN_ROUTES = ["order", "look"] as const;

/** Parts of a version, in the platform's format. */
interface Content {
  readonly routes: readonly RouteContent[];
  readonly services: readonly { readonly name: string }[];
  readonly limits: Readonly<Record<string, number>>;
  readonly tenants: readonly TenantContent[];
}

interface RouteContent {
  readonly name: string;
  readonly timeout_ms: number;
  readonly service?: string;
  readonly split?: readonly ServiceShare[];
}

interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

interface TenantContent {
  readonly name: string;
  readonly api_keys: readonly string[];
}

type Change = (content: Content) => Content;

/** In how many of the versions that may be in force something is. */
type Presence = "all" | "some" | "none";

/** What the versions that may be in force during a request allow. */
export interface Allowance {
  readonly route: Presence;
  readonly key: Presence;
  /** Services that the route leads to in some version. */
  readonly services: readonly string[];
  readonly minTimeoutMs: number;
  readonly maxTimeoutMs: number;
}

export interface Versions {
  /** Writes a version with the changes in progress. */
  publish(): void;
  /** Writes versions one after the other until their changes are undone. */
  playSeries(random: SeededRandom): Promise<void>;
  /**
   * What a request was allowed that was answered just now. An instance that was
   * not in touch may have used any version so far.
   */
  allowanceOf(
    request: SoakRequest,
    options: { readonly sentAt: number; readonly wasInTouch: boolean },
  ): Allowance;
}

/** Writes the first version; later ones build on the deployment's own. */
export function createVersions(deployment: Deployment): Versions {
  const stored = deployment.store.get("config", "main")?.spec as Content;
  const base = {
    ...stored,
    services: [
      ...stored.services,
      { name: SPARE_SERVICE, health_path: "/health", max_conns: 100 },
    ],
  };
  const changes = new Set<Change>();
  const history: { readonly at: number; readonly content: Content }[] = [];
  publish();

  function publish(): void {
    const content = [...changes].reduce<Content>(
      (changed, change) => change(changed),
      base,
    );
    deployment.configure({ ...content });
    history.push({ at: performance.now(), content });
  }

  async function play(change: Change, lastsMs: number): Promise<void> {
    changes.add(change);
    publish();
    await sleep(lastsMs);
    changes.delete(change);
    publish();
  }

  function possibleContents(sentAt: number, wasInTouch: boolean): Content[] {
    return history
      .filter((_, index) => {
        const replacedAt = history[index + 1]?.at ?? Infinity;
        return !wasInTouch || replacedAt + APPLY_MS >= sentAt;
      })
      .map(({ content }) => content);
  }

  return {
    publish,
    async playSeries(random) {
      const count = random.between(2, 4);
      const played: Promise<void>[] = [];
      for (let index = 0; index < count; index += 1) {
        played.push(play(drawChange(random), random.between(300, 3_000)));
        await sleep(random.between(20, 800));
      }
      await Promise.all(played);
    },
    allowanceOf(request, { sentAt, wasInTouch }) {
      const contents = possibleContents(sentAt, wasInTouch);
      const name = routeOf(request);
      const key = keyOf(request);
      const routes = contents.map((content) =>
        content.routes.find((route) => route.name === name),
      );
      const timeouts = routes.flatMap((route) => route?.timeout_ms ?? []);
      return {
        route: presenceOf(routes.map((route) => route !== undefined)),
        key: presenceOf(
          contents.map(({ tenants }) =>
            tenants.some(({ api_keys }) => api_keys.includes(key)),
          ),
        ),
        services: routes.flatMap((route) => (route ? servicesOf(route) : [])),
        minTimeoutMs: Math.min(...timeouts),
        maxTimeoutMs: Math.max(0, ...timeouts),
      };
    },
  };
}

function drawChange(random: SeededRandom): Change {
  const route = random.pick(ROUTES);
  const plainRoute = random.pick(PLAIN_ROUTES);
  const organisation = random.pick(ORGANISATIONS);
  const timeoutMs = random.pick([1_500, 2_500, 8_000]);
  const weight = random.between(1, 9);
  const limits = {
    idle_timeout_ms: random.pick([1_000, 2_000, 30_000]),
    header_timeout_ms: random.pick([1_000, 10_000]),
    max_body_bytes: random.pick([1_000, 1_000_000]),
  };
  return random.pick<Change>([
    (content) => ({
      ...content,
      routes: content.routes.filter(({ name }) => name !== route),
    }),
    (content) =>
      changeRoutes(content, ({ service, ...rest }) =>
        rest.name === plainRoute
          ? { ...rest, service: SPARE_SERVICE }
          : { ...rest, ...(service === undefined ? {} : { service }) },
      ),
    (content) =>
      changeRoutes(content, (changed) =>
        changed.name === plainRoute ? withSplit(changed, weight) : changed,
      ),
    (content) => ({
      ...content,
      tenants: content.tenants.map((tenant) =>
        tenant.name === organisation ? { ...tenant, api_keys: [] } : tenant,
      ),
    }),
    (content) =>
      changeRoutes(content, (changed) => ({
        ...changed,
        timeout_ms: timeoutMs,
      })),
    (content) => ({ ...content, limits: { ...content.limits, ...limits } }),
    withoutSpareService,
  ]);
}

function changeRoutes(
  content: Content,
  change: (route: RouteContent) => RouteContent,
): Content {
  return { ...content, routes: content.routes.map(change) };
}

/** A route with shares of its services and the spare one. */
function withSplit(route: RouteContent, weight: number): RouteContent {
  const { service = SPARE_SERVICE, ...rest } = route;
  const spare = { service: SPARE_SERVICE, weight };
  return { ...rest, split: [{ service, weight: 10 - weight }, spare] };
}

/** Valid versions name the services of all routes. */
function withoutSpareService(content: Content): Content {
  const isUsed = content.routes.some((route) =>
    servicesOf(route).includes(SPARE_SERVICE),
  );
  if (isUsed) return content;
  return {
    ...content,
    services: content.services.filter(({ name }) => name !== SPARE_SERVICE),
  };
}

function servicesOf({ service, split = [] }: RouteContent): string[] {
  const shared = split.map((share) => share.service);
  return service === undefined ? shared : [service, ...shared];
}

function presenceOf(present: readonly boolean[]): Presence {
  if (present.every(Boolean)) return "all";
  return present.some(Boolean) ? "some" : "none";
}
