/** Pieces of an OpenAPI 3.1 document, made from the schemas. */
import { failureBodySchema } from "@rosemarypin/schemas";
import { stringify } from "yaml";
import { z } from "zod";

/** A JSON object of the document. */
export type JsonObject = Readonly<Record<string, unknown>>;

const GENERATED = "# Made from the schemas; refresh with: npm run openapi\n";

/** Schemas that a document holds once, by name. */
export type NamedSchemas = Readonly<
  Record<
    string,
    { readonly schema: z.ZodType; readonly io: "input" | "output" }
  >
>;

/** What a document refers to by name, for its `components`. */
export function components(
  named: NamedSchemas,
  securitySchemes: JsonObject,
): JsonObject {
  const entries = Object.entries({ ...named, ...failureSchema }).map(
    ([name, { schema, io }]) => [name, jsonSchema(schema, io)] as const,
  );
  return {
    securitySchemes,
    responses: commonResponses,
    schemas: Object.fromEntries(entries),
  };
}

/** The document as YAML, with how to refresh it. */
export function formatDocument(document: JsonObject): string {
  const yaml = stringify(document, { aliasDuplicateObjects: false });
  return GENERATED + yaml;
}

/** A body by the name of its schema. */
export function requestBody(name: string): JsonObject {
  return { required: true, content: jsonContent(name) };
}

/** An answer with a JSON body, by the name of its schema. */
export function jsonAnswer(description: string, name: string): JsonObject {
  return { description, content: jsonContent(name) };
}

/** A refusal, with the typed body that all refusals have. */
export function failure(description: string): JsonObject {
  return jsonAnswer(description, FAILURE);
}

const FAILURE = "Failure";
const failureSchema: NamedSchemas = {
  [FAILURE]: { schema: failureBodySchema, io: "output" },
};

const commonResponses: JsonObject = {
  BadRequest: failure("The request is wrong as it stands; see `code`"),
  WrongKey: failure("The key is missing or wrong"),
  WrongMethod: failure("The path takes other methods; see the header `allow`"),
  TooSlow: failure("The request did not arrive in time"),
  BodyTooLarge: failure("The body is too large"),
  UnsupportedBody: failure("The body is not JSON in UTF-8, or is encoded"),
  HeadersTooLarge: failure("The headers are too large"),
};

/** Refusals that every call with a key can get. */
export const commonFailures: JsonObject = {
  "400": response("BadRequest"),
  "401": response("WrongKey"),
  "405": response("WrongMethod"),
  "408": response("TooSlow"),
  "413": response("BodyTooLarge"),
  "415": response("UnsupportedBody"),
  "431": response("HeadersTooLarge"),
};

function response(name: string): JsonObject {
  return { $ref: `#/components/responses/${name}` };
}

/** A parameter in the path, the query or a header. */
export function parameter(
  name: string,
  options: {
    readonly in: "path" | "query" | "header";
    readonly schema: z.ZodType;
    readonly description?: string;
    readonly required?: boolean;
  },
): JsonObject {
  const { schema, required = options.in === "path", ...rest } = options;
  return { name, ...rest, required, schema: jsonSchema(schema, "input") };
}

/** Security by key, as both APIs have it. */
export function keySecurity(whose: string): JsonObject {
  const description = `${whose} key, as \`authorization: Bearer KEY\``;
  return { key: { type: "http", scheme: "bearer", description } };
}

function jsonContent(name: string): JsonObject {
  const schema = { $ref: `#/components/schemas/${name}` };
  return { "application/json": { schema } };
}

function jsonSchema(schema: z.ZodType, io: "input" | "output"): JsonObject {
  const { $schema: _, ...rest } = z.toJSONSchema(schema, {
    io,
    unrepresentable: "any",
  });
  return rest;
}
