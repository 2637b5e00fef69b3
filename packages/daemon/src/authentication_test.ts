import type { IncomingMessage } from "node:http";
import type { Organisation } from "@rosemarypin/schemas";
import { expect, test } from "vitest";
import { createAuthenticator, hashKey } from "./authentication.ts";

const KEY = "kano-test-key";
const kano: Organisation = {
  name: "kano",
  keySha256: hashKey(KEY),
  priority: "interactive",
  weight: 1,
};
const authenticate = createAuthenticator([kano]);

function requestWith(authorization: string | undefined): IncomingMessage {
  return { headers: { authorization } } as IncomingMessage;
}

test.each([`Bearer ${KEY}`, `bearer ${KEY}`])("knows a caller by %s", (key) => {
  expect(authenticate(requestWith(key))).toBe(kano);
});

/**
 * A key that is wrong, or a header of another form, must not be taken for
 * any organisation: its orders would go on another dealer's account.
 */
test.each([
  undefined,
  "",
  KEY,
  `Basic ${KEY}`,
  `Bearer ${KEY}x`,
  "Bearer",
  "Bearer short",
  `Bearer ${kano.keySha256}`,
  `Bearer ${"x".repeat(257)}`,
])("knows nobody by %s", (key) => {
  expect(authenticate(requestWith(key))).toBeNull();
});
