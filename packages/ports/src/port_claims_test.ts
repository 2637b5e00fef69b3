import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createPortClaims, type PortRange } from "./port_claims.ts";

const script = new URL("../dist/mod.js", import.meta.url).href;
const children: ChildProcess[] = [];

afterEach(() => {
  for (const child of children.splice(0)) child.kill("SIGKILL");
});

/** Claims ports in another process, which keeps them until it is killed. */
async function claimElsewhere(
  count: number,
  range?: PortRange,
): Promise<{ readonly child: ChildProcess; readonly ports: number[] }> {
  const code = `
    import { createPortClaims } from ${JSON.stringify(script)};
    const claims = createPortClaims(${range ? JSON.stringify(range) : ""});
    console.log(JSON.stringify(await claims.claim(${count})));
    setInterval(() => {}, 1_000);
  `;
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", code],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  children.push(child);
  const [line] = await once(child.stdout, "data");
  return { child, ports: JSON.parse(String(line)) };
}

/** Ranges with room for exactly one block. */
const ONE_BLOCK: PortRange = { lowest: 11_900, highest: 11_939 };
const ANOTHER_BLOCK: PortRange = { lowest: 11_940, highest: 11_979 };

describe("a claim of ports", () => {
  // Guards against two deployments that find the same ports free, before the
  // processes of either have bound theirs.
  it("is not shared with other processes that claim at the same time", async () => {
    const claimed = await Promise.all(
      Array.from({ length: 24 }, () => claimElsewhere(200)),
    );
    const ports = claimed.flatMap((one) => one.ports);
    expect(new Set(ports).size).toBe(24 * 200);
  });

  it("is not shared with other claims of the same process", async () => {
    const claims = createPortClaims();
    const claimed = await Promise.all(
      Array.from({ length: 40 }, () => claims.claim(10)),
    );
    expect(new Set(claimed.flat()).size).toBe(400);
  });

  it("ends when its process is killed", async () => {
    const { child, ports } = await claimElsewhere(5, ONE_BLOCK);
    const claims = createPortClaims(ONE_BLOCK);
    await expect(claims.claim(1)).rejects.toThrow(
      "no 40 free ports from 11900 to 11939",
    );
    child.kill("SIGKILL");
    await once(child, "exit");
    expect(await claims.claim(5)).toEqual(ports);
  });

  it("leaves out a block of which a port is in use", async () => {
    const server = createServer().listen(11_960, "127.0.0.1");
    await once(server, "listening");
    const claims = createPortClaims(ANOTHER_BLOCK);
    await expect(claims.claim(1)).rejects.toThrow("no 40 free ports");
    server.close();
    await once(server, "close");
    expect(await claims.claim(3)).toEqual([11_941, 11_942, 11_943]);
  });

  it("is consecutive if it is small, and may span blocks if it is large", async () => {
    const claims = createPortClaims();
    const [first = 0, ...rest] = await claims.claim(4);
    expect(rest).toEqual([first + 1, first + 2, first + 3]);
    expect(new Set(await claims.claim(100)).size).toBe(100);
  });
});
