import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { startAdminServer } from "../admin_server.ts";
import { startCallerServer } from "../caller_server.ts";
import {
  adminKey,
  fakeAdminParts,
  fakeCallerParts,
  fakeSettings,
  goodKey,
} from "../contract/fake_parts.ts";
import { adminDocument } from "./admin_document.ts";
import { callersDocument } from "./callers_document.ts";
import { formatDocument } from "./document.ts";

const folder = fileURLToPath(
  new URL("../../../../docs/openapi/", import.meta.url),
);

describe("the committed documents", () => {
  it.each([
    ["callers.yaml", callersDocument],
    ["admin.yaml", adminDocument],
  ])(
    "%s is what the schemas give; 'npm run openapi' refreshes it",
    (name, document) => {
      const committed = readFileSync(`${folder}${name}`, "utf8");
      expect(committed).toBe(formatDocument(document()));
    },
  );
});

describe("references", () => {
  it.each([
    ["callers", callersDocument()],
    ["admin", adminDocument()],
  ])("of the %s document all lead somewhere", (_name, document) => {
    const text = JSON.stringify(document);
    const references = [...text.matchAll(/"\$ref":"#\/([^"]+)"/g)];
    expect(references.length).toBeGreaterThan(0);
    for (const [, path = ""] of references) {
      const found = path
        .split("/")
        .reduce<unknown>(
          (node, key) => (node as Record<string, unknown> | undefined)?.[key],
          document,
        );
      expect(found, path).toBeDefined();
    }
  });
});

interface Operation {
  readonly method: string;
  readonly path: string;
  readonly statuses: readonly string[];
}

function operationsOf(document: unknown): Operation[] {
  const { paths } = document as {
    paths: Record<string, Record<string, { responses?: object }>>;
  };
  return Object.entries(paths).flatMap(([path, item]) =>
    Object.entries(item)
      .filter(([method]) => method !== "parameters")
      .map(([method, { responses = {} }]) => ({
        method: method.toUpperCase(),
        path: path
          .replace("{service}/{path}", "bookings/orders")
          .replace("{number}", "1")
          .replace("{requestId}", randomUUID()),
        statuses: Object.keys(responses),
      })),
  );
}

describe("each operation of a document", () => {
  const settings = fakeSettings();
  let callers: Server;
  let admin: Server;

  beforeAll(async () => {
    ({ server: callers } = await startCallerServer(fakeCallerParts(settings)));
    admin = await startAdminServer(fakeAdminParts(settings));
  });

  afterAll(() => {
    for (const server of [callers, admin]) {
      server.closeAllConnections();
      server.close();
    }
  });

  async function ask(server: Server, options: Operation & { key: string }) {
    const { port } = server.address() as AddressInfo;
    const isPost = options.method === "POST";
    const response = await request(`http://127.0.0.1:${port}${options.path}`, {
      method: isPost ? "POST" : "GET",
      headers: { authorization: `Bearer ${options.key}` },
      body: isPost ? "{}" : null,
    });
    const body = await response.body.text();
    return { status: String(response.statusCode), body };
  }

  it.each(operationsOf(callersDocument()))(
    "callers: $method $path",
    async (operation) => {
      const { status, body } = await ask(callers, {
        ...operation,
        key: goodKey,
      });
      expect(body).not.toContain("unknown_path");
      const isListed = operation.statuses.includes(status);
      expect(isListed || operation.statuses.includes("default")).toBe(true);
    },
  );

  it.each(operationsOf(adminDocument()))(
    "admin: $method $path",
    async (operation) => {
      const { status, body } = await ask(admin, {
        ...operation,
        key: adminKey,
      });
      expect(body).not.toContain("unknown_path");
      expect(operation.statuses).toContain(status);
    },
  );
});
