/** The HTTP routes of an engine. */
import {
  attemptRequestSchema,
  cacheRequestSchema,
  type EngineState,
  engineOrderSchema,
} from "@rosemarypin/schemas";
import { type JsonExchange, type JsonHandler, reply } from "../http_json.ts";
import { type EngineFaults, engineFaultsSchema } from "../stand_in_settings.ts";
import type { Attempts } from "./attempts.ts";
import type { CacheExports } from "./cache_export.ts";
import type { EngineMessages } from "./engine_messages.ts";
import type { OrderState } from "./order_state.ts";
import type { Sequence } from "./sequence.ts";
import type { SequenceTable } from "./sequence_table.ts";
import type { EngineMessage } from "./step.ts";

export interface EngineRoutesOptions {
  readonly attempts: Attempts;
  readonly cacheExports: CacheExports;
  readonly messages: EngineMessages;
  readonly order: OrderState;
  readonly table: SequenceTable;
  readonly describeState: () => EngineState;
  /** Takes faults that a test sets. */
  readonly setFaults: (faults: EngineFaults) => void;
}

/** Creates the handler of all requests to an engine. */
export function createEngineRoutes(options: EngineRoutesOptions): JsonHandler {
  const { attempts, messages, order, table, describeState } = options;

  function takeSteps({ response, body }: JsonExchange): void {
    const steps = body as EngineMessage[];
    const known = steps.map(messages.receive);
    const unknown = steps
      .filter((_, index) => !known[index])
      .map(({ requestId }) => requestId);
    reply(response, 200, { unknown });
  }

  function takeOrder({ response, body }: JsonExchange): void {
    if (!order.take(engineOrderSchema.parse(body))) {
      const { fencingNumber } = order.current();
      return reply(response, 409, { fencingNumber });
    }
    for (const sequence of [...table.allRunning()]) {
      if (order.holdsStage(sequence.request, sequence.stage)) continue;
      tellFirstStage(sequence);
      attempts.stop(sequence, { reason: "no longer held" });
    }
    table.dropParked(({ request, stage }) => order.holdsStage(request, stage));
    reply(response, 200, describeState());
  }

  /** Without a word the first stage would wait for tokens in vain. */
  function tellFirstStage({ request, stage, emit }: Sequence): void {
    if (emit) return;
    const { requestId, attempt } = request;
    const step = { requestId, attempt, stage, position: 0, inputs: [] };
    messages.reportLost([{ type: "step", ...step }], {
      cause: "unreachable",
      reason: "no longer held",
    });
  }

  function takeFaults({ response, body }: JsonExchange): void {
    const faults = engineFaultsSchema.parse(body);
    options.setFaults(faults);
    reply(response, 200, faults);
  }

  function startAttempt({ response, body }: JsonExchange): void {
    const attempt = attemptRequestSchema.parse(body);
    const refusal = attempts.start(attempt, response);
    if (refusal) reply(response, 409, refusal);
  }

  async function giveCache({ response, body }: JsonExchange): Promise<void> {
    const wanted = cacheRequestSchema.parse(body);
    const end = await options.cacheExports.give(wanted);
    if (end.kind === "exported") return reply(response, 200, end.exported);
    reply(response, 409, { error: end.reason });
  }

  function takeAnswerCall(call: string, { response }: JsonExchange): void {
    const cancel = /^POST \/attempts\/([^/]+)\/cancel$/.exec(call);
    if (cancel?.[1]) {
      attempts.cancel(decodeURIComponent(cancel[1]));
      return reply(response, 200, {});
    }
    const read = /^GET \/attempts\/([^/]+)$/.exec(call);
    const answer = read?.[1] && attempts.read(decodeURIComponent(read[1]));
    if (answer) return reply(response, 200, answer);
    const error = read ? "not here" : `no ${call}`;
    reply(response, 404, { error });
  }

  return (exchange) => {
    const { method, url, response } = exchange;
    const call = `${method} ${url.pathname}`;
    switch (call) {
      case "GET /state":
        return reply(response, 200, describeState());
      case "POST /attempts":
        return startAttempt(exchange);
      case "POST /cache/export":
        return giveCache(exchange);
      case "POST /steps":
        return takeSteps(exchange);
      case "POST /order":
        return takeOrder(exchange);
      case "POST /faults":
        return takeFaults(exchange);
      case "POST /leave":
        order.leave();
        return reply(response, 200, describeState());
      default:
        return takeAnswerCall(call, exchange);
    }
  };
}
