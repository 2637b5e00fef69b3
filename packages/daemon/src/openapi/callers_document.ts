/** OpenAPI document of the callers' interface. */
import {
  answerProvenanceSchema,
  chatRequestSchema,
  completionRequestSchema,
  nameSchema,
  prioritySchema,
} from "@rosemarypin/schemas";
import { z } from "zod";
import {
  commonFailures,
  components,
  failure,
  type JsonObject,
  jsonAnswer,
  keySecurity,
  type NamedSchemas,
  parameter,
  requestBody,
} from "./document.ts";

const priorityHeader = parameter("x-priority", {
  in: "header",
  schema: prioritySchema,
  description: "Less urgency than the request would have; never more",
});
const workHeader = parameter("x-work", {
  in: "header",
  schema: nameSchema,
  description: "A kind of work from the settings, with a priority of its own",
});
const deadlineHeader = parameter("x-deadline-ms", {
  in: "header",
  schema: z.number().positive(),
  description: "How long the caller waits, in milliseconds",
});
const requestIdHeader = parameter("x-request-id", {
  in: "header",
  schema: z.string().max(128),
  description:
    "The caller's own id: logged, and sent back as `x-caller-request-id`. " +
    "The id of the request itself is ours, in `x-request-id` of the answer",
});
const answerHeaders = [
  priorityHeader,
  workHeader,
  deadlineHeader,
  requestIdHeader,
];

const choiceSchema = z.object({
  index: z.literal(0),
  finish_reason: z.enum(["stop", "length"]),
});

const envelopeSchema = z.object({
  id: z.string(),
  object: z.string(),
  created: z.number().int(),
  model: nameSchema,
  usage: z.object({ completion_tokens: z.number().int() }),
  rosemarypin: answerProvenanceSchema,
});

const chatAnswerSchema = envelopeSchema.extend({
  choices: z.array(
    choiceSchema.extend({
      message: z.object({ role: z.literal("assistant"), content: z.string() }),
    }),
  ),
});

const textAnswerSchema = envelopeSchema.extend({
  choices: z.array(choiceSchema.extend({ text: z.string() })),
});

const modelsSchema = z.object({
  object: z.literal("list"),
  data: z.array(
    z.object({
      id: nameSchema,
      object: z.literal("model"),
      owned_by: nameSchema,
      version: nameSchema,
      adapters: z.array(nameSchema),
    }),
  ),
});

const schemas: NamedSchemas = {
  ChatRequest: { schema: chatRequestSchema, io: "input" },
  ChatAnswer: { schema: chatAnswerSchema, io: "output" },
  CompletionRequest: { schema: completionRequestSchema, io: "input" },
  CompletionAnswer: { schema: textAnswerSchema, io: "output" },
  Models: { schema: modelsSchema, io: "output" },
};

const overLimit = failure(
  "The organisation is beyond its limit, and this did not run; come back " +
    "after `retry-after`",
);

const answerFailures: JsonObject = {
  ...commonFailures,
  "404": failure("The model or adapter is not in the release note"),
  "410": failure("Withdrawn by a release note; `noteNumber` names it"),
  "429": overLimit,
  "502": failure("The answer ran and is lost for good"),
  "503": failure("Certain not to have run; come back after `retry-after`"),
};

/** The whole document. */
export function callersDocument(): JsonObject {
  return {
    openapi: "3.1.0",
    info: {
      title: "rosemarypin callers' interface",
      version: "1",
      description:
        "Completions in the style of OpenAI, and plain services. Every " +
        "failure has a body with one of four outcomes: `not_run` (certain), " +
        "`failed` (final), `outcome_unknown` (may have run, is never " +
        "repeated by us), `withdrawn`.",
    },
    security: [{ key: [] }],
    components: components(schemas, keySecurity("The organisation's")),
    paths: {
      "/v1/models": { get: listModels },
      "/v1/chat/completions": {
        post: completion("chat", {
          body: "ChatRequest",
          answer: "ChatAnswer",
        }),
      },
      "/v1/completions": {
        post: completion("text", {
          body: "CompletionRequest",
          answer: "CompletionAnswer",
        }),
      },
      "/v1/answers/{requestId}": {
        parameters: [parameter("requestId", { in: "path", schema: z.uuid() })],
        get: resumedAnswer,
      },
      "/services/{service}/{path}": {
        parameters: [
          parameter("service", { in: "path", schema: nameSchema }),
          parameter("path", {
            in: "path",
            schema: z.string(),
            description:
              "One or more segments that the service's rules allow; none " +
              "empty, `.`, `..`, or with an encoded dot, slash or NUL",
          }),
        ],
        get: serviceCall("A call that may be repeated"),
        post: serviceCall("A call that runs at most once for each key"),
      },
    },
  };
}

const listModels: JsonObject = {
  summary: "Models that the release note allows",
  responses: {
    "200": jsonAnswer("The models", "Models"),
    ...commonFailures,
  },
};

function completion(
  kind: string,
  names: { readonly body: string; readonly answer: string },
): JsonObject {
  const whole = jsonAnswer("The whole answer", names.answer);
  const stream = {
    schema: { type: "string" },
    description:
      "With `stream: true`: one event for each token, whose `id` takes the " +
      "answer up again; the last event has the provenance, then `[DONE]`. A " +
      "failure in the middle is an event `error` with the body of a " +
      "failure. Comments keep the connection alive between tokens.",
  };
  const content = {
    ...(whole.content as JsonObject),
    "text/event-stream": stream,
  };
  return {
    summary: `A ${kind} completion`,
    parameters: answerHeaders,
    requestBody: requestBody(names.body),
    responses: { "200": { ...whole, content }, ...answerFailures },
  };
}

const resumedAnswer: JsonObject = {
  summary: "The rest of a streamed answer, on any instance",
  parameters: [
    parameter("last-event-id", {
      in: "header",
      schema: z.string(),
      required: true,
      description: "The `id` of the last event that came",
    }),
    parameter("style", {
      in: "query",
      schema: z.enum(["chat", "text"]),
      description: "As the answer was asked for; `text` if left out",
    }),
  ],
  responses: {
    "200": {
      description: "The tokens after that event, as a stream",
      content: { "text/event-stream": { schema: { type: "string" } } },
    },
    ...answerFailures,
  },
};

function serviceCall(summary: string): JsonObject {
  return {
    summary,
    parameters: [
      parameter("idempotency-key", {
        in: "header",
        schema: z.string().regex(/^[\x21-\x7e]{1,128}$/),
        description:
          "Names the call: the same key gets the first answer, and the call " +
          "runs once. Required where the rule says that it is not idempotent",
      }),
      requestIdHeader,
    ],
    responses: {
      default: {
        description:
          "What the service answered; `idempotent-replayed: true` if it is " +
          "the answer of an earlier call by the same key",
      },
      ...commonFailures,
      "404": failure("No such service or call"),
      "410": failure("Withdrawn by a release note"),
      "422": failure("The key was used for another call"),
      "429": overLimit,
      "503": failure("Certain not to have run; come back after `retry-after`"),
      "504": failure("May have run, and is not repeated; ask the service"),
    },
  };
}
