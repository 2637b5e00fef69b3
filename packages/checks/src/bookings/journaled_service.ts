/** A booking service that keeps a journal of every run, and can fail. */
import type {
  ServiceClient,
  ServiceRequest,
  ServiceResult,
} from "@rosemarypin/backends";
import type { Faults } from "./faults.ts";
import type { Interleaving } from "./interleaving.ts";

const FAULT_CHANCE = 0.2;
/** Where servers often refuse, whole calls end without having run. */
const REFUSING_CHANCE = 0.6;
const LATEST_RUN_MS = 15_000;

const REFUSALS = ["connect refused", "refused as not started"] as const;
const ALL_FAULTS = [
  ...REFUSALS,
  "server dies before running",
  "server dies after running",
  "timeout, runs late",
] as const;

/** One run, as the service itself saw it. */
export interface Run {
  readonly key: string;
  readonly requestId: string;
  readonly body: string;
  readonly number: number;
}

/** Creates the service; all its servers share the journal. */
export function createJournaledService(options: {
  readonly interleaving: Interleaving;
  readonly faults: Faults;
  /** Whether most faults are refusals, so that claims are released. */
  readonly refusing: boolean;
}) {
  const { interleaving, faults, refusing } = options;
  const { pause, deliver } = interleaving;
  const journal: Run[] = [];

  function run(request: ServiceRequest): ServiceResult {
    const entry: Run = {
      key: request.headers["idempotency-key"] ?? "",
      requestId: request.headers["x-request-id"] ?? "",
      body: request.body.toString(),
      number: journal.length + 1,
    };
    journal.push(entry);
    interleaving.note(`service runs ${entry.key} for ${entry.requestId}`);
    return answer(entry);
  }

  function lookUp(request: ServiceRequest): ServiceResult {
    const key = request.path.split("/").at(-1);
    const found = journal.find((entry) => entry.key === key);
    return found ? answer(found) : { ...answer(null), ...NOT_FOUND };
  }

  async function sendBooking(request: ServiceRequest): Promise<ServiceResult> {
    const id = request.headers["x-request-id"];
    await pause(`sends ${id} to a server`);
    const chance = refusing ? REFUSING_CHANCE : FAULT_CHANCE;
    if (faults.strikes(chance)) return fail(request);
    const result = await deliver(async () => {
      await pause(`${id} arrives at the server`);
      return run(request);
    });
    await pause(`${id} gets its answer`);
    return result;
  }

  async function fail(request: ServiceRequest): Promise<ServiceResult> {
    const fault = faults.pick(refusing ? REFUSALS : ALL_FAULTS);
    interleaving.note(`${request.headers["x-request-id"]}: ${fault}`);
    switch (fault) {
      case "connect refused":
        await pause("connect fails");
        return { kind: "not_sent", detail: fault, refused: true };
      case "refused as not started":
        await pause("server refuses");
        return { kind: "not_started", detail: fault, leaving: false };
      case "server dies before running":
        break;
      case "server dies after running":
        await deliver(async () => run(request));
        break;
      case "timeout, runs late":
        void deliver(async () => {
          await interleaving.sleep(faults.between(0, LATEST_RUN_MS));
          await pause("late call arrives at the server");
          run(request);
        });
    }
    await pause("connection breaks");
    return { kind: "broken", detail: fault };
  }

  const client: ServiceClient = {
    async send(_address, request) {
      if (request.method === "POST") return sendBooking(request);
      await pause("looks the key up");
      if (faults.strikes(FAULT_CHANCE)) {
        return { kind: "not_sent", detail: "look-up failed", refused: false };
      }
      return lookUp(request);
    },
  };
  return { client, journal: journal as readonly Run[] };
}

const NOT_FOUND = {
  answer: {
    status: 404,
    contentType: "application/json",
    body: Buffer.from("{}"),
    isDelimited: true,
  },
};

function answer(entry: Run | null) {
  const body = Buffer.from(JSON.stringify(entry));
  const contentType = "application/json";
  return {
    kind: "answer" as const,
    answer: { status: 200, contentType, body, isDelimited: true },
    leaving: false,
  };
}
