/** The crowds that both stacks have to live through. */
import { type CrowdKind, chunkOf, ONE_BYTE_CHUNK } from "./crowd.ts";

/** Heads of one stack, in its words and without their last, empty line. */
export interface CrowdHeads {
  /** Of a request with a body, that may not be repeated, with a valid key. */
  readonly order: string;
  /** Of one without a body, with the usual headers. */
  readonly lookup: string;
  /** Of one whose answer is a stream of events; with a body if it needs one. */
  readonly stream: string;
}

const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const LARGE_CHUNK_BYTES = 131_072;
const HEADERS_OF_MANY = 300;

/** Short header lines; their names differ, as a parser may merge equal ones. */
function manyHeaders(count: number): string {
  return Array.from({ length: count }, (_, index) => `h${index}: 1\r\n`).join(
    "",
  );
}

/** Crowds of the same kinds for a stack; `bodyBytes` is its largest body. */
export function crowdKinds(
  { order, lookup, stream }: CrowdHeads,
  bodyBytes: number,
): readonly CrowdKind[] {
  const largeChunks = Math.floor(bodyBytes / LARGE_CHUNK_BYTES) - 1;
  return [
    {
      what: "bodies in chunks of one byte that don't end",
      connections: 80,
      opening: `${order}${CHUNKED}`,
      unit: ONE_BYTE_CHUNK,
      repeats: 40_000,
    },
    {
      what: "small bodies in chunks of one byte that don't end",
      connections: 120,
      opening: `${order}${CHUNKED}`,
      unit: ONE_BYTE_CHUNK,
      repeats: 16_000,
    },
    {
      what: "bodies in large chunks that don't end",
      connections: 100,
      opening: `${order}${CHUNKED}`,
      unit: chunkOf(LARGE_CHUNK_BYTES),
      repeats: Math.max(1, largeChunks),
    },
    {
      what: "requests ahead without the usual headers, answers unread",
      connections: 100,
      opening: "",
      unit: "GET / HTTP/1.1\r\n\r\n",
      repeats: 20_000,
    },
    {
      what: "requests ahead with the usual headers, answers unread",
      connections: 100,
      opening: "",
      unit: `${lookup}\r\n`,
      repeats: 3_000,
    },
    {
      what: "requests ahead with many headers, answers unread",
      connections: 100,
      opening: "",
      unit: `${lookup}${manyHeaders(HEADERS_OF_MANY)}\r\n`,
      repeats: 200,
    },
    {
      what: "heads that don't end",
      connections: 200,
      opening: lookup,
      unit: "h: 1234567\r\n",
      repeats: 1_000,
    },
    {
      what: "bodies that are announced and don't come",
      connections: 200,
      opening: `${order}Content-Length: ${bodyBytes}\r\n\r\n`,
      unit: "x",
      repeats: 1,
    },
    {
      what: "bodies that come a byte now and then",
      connections: 200,
      opening: `${order}${CHUNKED}${chunkOf(2_000)}`,
      unit: ONE_BYTE_CHUNK,
      repeats: 1_000,
      everyMs: 100,
    },
    {
      what: "bodies with chunk extensions and trailers that don't end",
      connections: 100,
      opening: `${order}${CHUNKED}${"1;x=1\r\nx\r\n".repeat(1_000)}0\r\n`,
      unit: "t: 1\r\n",
      repeats: 1_000,
    },
    {
      what: "expectations whose body doesn't come",
      connections: 200,
      opening: `${order}Expect: 100-continue\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
      unit: "",
      repeats: 0,
    },
    {
      what: "streams whose events aren't read",
      connections: 100,
      opening: stream,
      unit: "",
      repeats: 0,
    },
    {
      what: "answers read a byte a second",
      connections: 100,
      opening: "",
      unit: `${lookup}\r\n`,
      repeats: 100,
      readsPerSecond: 1,
    },
    {
      what: "connections whose callers end their side behind a request",
      connections: 200,
      opening: `${lookup}\r\n`,
      unit: "",
      repeats: 0,
      endsItsSide: true,
    },
    {
      what: "sound orders with a valid key, one behind the other",
      connections: 60,
      opening: "",
      unit: `${order}Content-Length: 5\r\n\r\nhello`,
      repeats: 1_000,
    },
  ];
}

/** Connections that send half a line; a third of them leave early. */
export function halfLines(connections: number): CrowdKind {
  return {
    what: "connections that send half a line",
    connections,
    opening: "GET /loo",
    unit: "",
    repeats: 0,
    leavesEvery: 3,
  };
}
