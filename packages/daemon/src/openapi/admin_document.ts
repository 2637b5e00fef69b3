/** OpenAPI document of the administration API. */
import {
  explainSchema,
  historySchema,
  nameSchema,
  noteCheckSchema,
  noteDiffSchema,
  noteNumberSchema,
  noteRecordSchema,
  noteStatusSchema,
  publishAnswerSchema,
  releaseNoteSchema,
  requestTraceSchema,
  serviceLevelsSchema,
  statusSchema,
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

const number = parameter("number", { in: "path", schema: noteNumberSchema });
const storeAway = failure("The platform's store cannot be reached");
const unknownNote = failure("There is no such note");

const schemas: NamedSchemas = {
  ReleaseNote: { schema: releaseNoteSchema, io: "input" },
  PublishAnswer: { schema: publishAnswerSchema, io: "output" },
  History: { schema: historySchema, io: "output" },
  NoteRecord: { schema: noteRecordSchema, io: "output" },
  NoteStatus: { schema: noteStatusSchema, io: "output" },
  NoteDiff: { schema: noteDiffSchema, io: "output" },
  NoteCheck: { schema: noteCheckSchema, io: "output" },
  RequestTrace: { schema: requestTraceSchema, io: "output" },
  Explain: { schema: explainSchema, io: "output" },
  Status: { schema: statusSchema, io: "output" },
  ServiceLevels: { schema: serviceLevelsSchema, io: "output" },
  Draining: { schema: z.object({ draining: z.literal(true) }), io: "output" },
  Alive: { schema: z.object({ alive: z.literal(true) }), io: "output" },
  Ready: { schema: z.object({ ready: z.boolean() }), io: "output" },
};

/** The whole document. */
export function adminDocument(): JsonObject {
  return {
    openapi: "3.1.0",
    info: {
      title: "rosemarypin administration API",
      version: "1",
      description:
        "Release notes, status, metrics and health. `rosemarypin` speaks " +
        "only this. Health and metrics need no key.",
    },
    security: [{ key: [] }],
    components: components(schemas, keySecurity("The administrators'")),
    paths: { ...notePaths(), ...statusPaths(), ...openPaths() },
  };
}

function notePaths(): JsonObject {
  const body = requestBody("ReleaseNote");
  return {
    "/v1/notes": {
      get: call("The latest notes, newest first", {
        "200": jsonAnswer("The notes", "History"),
        "503": storeAway,
      }),
      post: {
        requestBody: body,
        ...call("Publish a note; repeat with the same publishId", {
          "201": jsonAnswer("The note is recorded", "PublishAnswer"),
          "409": failure("Another note came first; `head` holds it"),
          "422": failure("The note is not valid, or cannot be applied"),
          "503": storeAway,
          "504": failure("The note may be recorded; publish it again"),
        }),
      },
    },
    "/v1/notes/check": {
      post: {
        requestBody: body,
        ...call("Whether a note could be published now", {
          "200": jsonAnswer("What it would change", "NoteCheck"),
          "422": failure("The note is not valid by its schema"),
        }),
      },
    },
    "/v1/notes/{number}": {
      parameters: [number],
      get: call("One note, with the state after it", {
        "200": jsonAnswer("The note", "NoteRecord"),
        "404": unknownNote,
        "503": storeAway,
      }),
    },
    "/v1/notes/{number}/status": {
      parameters: [number],
      get: call("How far a note has come, by name", {
        "200": jsonAnswer("Its status", "NoteStatus"),
      }),
    },
    "/v1/notes/{number}/diff": {
      parameters: [
        number,
        parameter("to", {
          in: "query",
          schema: noteNumberSchema,
          required: true,
        }),
      ],
      get: call("What changed from one note to another", {
        "200": jsonAnswer("The changes", "NoteDiff"),
        "404": unknownNote,
        "503": storeAway,
      }),
    },
  };
}

function statusPaths(): JsonObject {
  return {
    "/v1/status": {
      get: call("The deployment, as this instance sees it", {
        "200": jsonAnswer("Its status", "Status"),
      }),
    },
    "/v1/service-levels": {
      get: call("What this instance counted in the last hour", {
        "200": jsonAnswer("The counts", "ServiceLevels"),
      }),
    },
    "/v1/explain": {
      get: {
        parameters: [
          parameter("model", { in: "query", schema: nameSchema }),
          parameter("adapter", { in: "query", schema: nameSchema }),
          parameter("service", { in: "query", schema: nameSchema }),
        ],
        ...call("Why a model or a service is answered or not", {
          "200": jsonAnswer("The verdict", "Explain"),
        }),
      },
    },
    "/v1/requests/{requestId}": {
      parameters: [parameter("requestId", { in: "path", schema: z.uuid() })],
      get: call("What the instances remember of one request", {
        "200": jsonAnswer("Its records", "RequestTrace"),
        "404": failure("No instance that answered remembers it"),
      }),
    },
    "/v1/drain": {
      post: call("Make this instance unready, ahead of its stop", {
        "202": jsonAnswer("It is unready", "Draining"),
      }),
    },
  };
}

/** Paths without a key, for balancers and scrapers. */
function openPaths(): JsonObject {
  return {
    "/healthz": {
      get: open("Whether the process answers", {
        "200": jsonAnswer("It does", "Alive"),
      }),
    },
    "/readyz": {
      get: open("Whether callers may be sent here", {
        "200": jsonAnswer("They may", "Ready"),
        "503": jsonAnswer("No note to answer from, or draining", "Ready"),
      }),
    },
    "/metrics": {
      get: open("Metrics in the text format of Prometheus", {
        "200": {
          description: "The metrics; docs/OPERATIONS.md lists them",
          content: { "text/plain": { schema: { type: "string" } } },
        },
      }),
    },
  };
}

function call(summary: string, responses: JsonObject): JsonObject {
  return { summary, responses: { ...responses, ...commonFailures } };
}

function open(summary: string, responses: JsonObject): JsonObject {
  return { summary, security: [], responses };
}
