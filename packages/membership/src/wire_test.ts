import type { MemberNews } from "@rosemarypin/schemas";
import { expect, it } from "vitest";
import { decodeDatagram, encodeDatagram } from "./wire.ts";

const NEWS: MemberNews = {
  status: "suspect",
  record: {
    id: "entry-ng-south-a-7",
    failureDomain: "ng-south-a",
    peer: { host: "10.1.2.3", port: 7_001 },
    incarnation: 1_764_717_284_000,
    revision: 12,
    left: false,
    shared: { note: 345, draining: true, load: 3 },
  },
};

// Instances of two builds exchange datagrams during a rolling upgrade, so a
// change of the wire format must fail here.
it.each([
  { method: "ping", sequence: 7 },
  { method: "ack", sequence: 7, about: "entry-1" },
  {
    method: "ping_request",
    sequence: 7,
    target: { host: "10.1.2.4", port: 7_001 },
  },
  { method: "news" },
  { method: "sync", digests: "AAAA" },
] as const)("datagram $method keeps its wire format", (body) => {
  const head = { from: NEWS, hash: 99, news: [NEWS] };
  const datagram = encodeDatagram(body, head);
  expect(Buffer.from(datagram).toString()).toMatchSnapshot();
  const { method, ...rest } = body;
  expect(decodeDatagram(datagram)).toEqual({
    jsonrpc: "2.0",
    method,
    params: { ...rest, ...head },
  });
});
