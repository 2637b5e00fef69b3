/**
 * The parts of undici that the daemon uses. Its own entry also loads fetch,
 * web sockets, caches and mocks, which take a fifth of a start. A part that is
 * imported and not exported here fails the build.
 */
import apiRequest from "undici/lib/api/api-request.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Dispatcher.prototype.request = apiRequest;

let sharedAgent = null;

/** Sends one request, by an agent shared by all that name no dispatcher. */
export function request(url, { dispatcher, ...options } = {}) {
  sharedAgent ??= dispatcher ? null : new Agent();
  const { origin, pathname, search } = new URL(url);
  const path = `${pathname}${search}`;
  return (dispatcher ?? sharedAgent).request({ ...options, origin, path });
}

export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as errors } from "undici/lib/core/errors.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { Agent, Dispatcher };
