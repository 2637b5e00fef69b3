/**
 * The store cuts off a watch that waits. Shortly after, a server's entry is
 * removed, as that of one that leaves without a word. How long does the machine
 * go on sending requests there, and what becomes of them?
 */
import { createServer, request } from "node:http";
import {
  createMachines,
  createRecord,
  entryOf,
  HOST,
  KEY,
  pause,
  plainConfiguration,
} from "../lib-2/deployment.mjs";
import { startStore } from "../lib-2/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const DRAIN_MS = 2_000;
/** A server goes on "for the same time", drain_ms and a little longer. */
const GOES_ON_MS = 2_300;
const REMOVED_AFTER_MS = 150;
const HEARTBEAT_MS = 1_200;
const SEND_EVERY_MS = 20;
const WORK_MS = 85;

const record = createRecord(new URL("record.txt", import.meta.url).pathname);

async function startShop(id) {
  const shop = { id, zone: "a", seq: 1, arrivals: [] };
  const server = createServer((incoming, outgoing) => {
    const requestId = incoming.headers["x-request-id"];
    shop.arrivals.push({ requestId, at: record.seconds() });
    const headers = {
      "X-Request-Id": requestId,
      "X-Engine-Signature": `${id}.1.1`,
    };
    incoming.resume();
    setTimeout(() => outgoing.writeHead(200, headers).end("done"), WORK_MS);
  });
  server.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  shop.address = `127.0.0.1:${server.address().port}`;
  shop.stop = () => {
    server.close();
    server.closeAllConnections();
  };
  return shop;
}

function order({ front }, id) {
  const call = { id, sentAt: record.seconds(), status: null };
  const sent = request(
    {
      host: "127.0.0.1",
      port: front,
      method: "POST",
      path: "/order/1",
      agent: false,
      headers: {
        Host: HOST,
        "X-Request-Id": id,
        "X-Deadline": "4000",
        "X-Credential": KEY,
      },
    },
    (answer) => {
      call.status = answer.statusCode;
      answer.resume();
    },
  );
  sent.once("error", ({ code }) => {
    call.status ??= code;
  });
  sent.end("an order");
  return call;
}

async function run(machines, store) {
  const shops = [await startShop("s-1"), await startShop("s-2")];
  const [leaving] = shops;
  let hasLeft = false;
  const beat = () => {
    for (const shop of shops) {
      if (shop === leaving && hasLeft) continue;
      shop.seq += 1;
      store.put("servers", shop.id, entryOf({ service: "shop", ...shop }));
    }
  };
  store.put("config", "main", plainConfiguration());
  beat();
  let beats = setInterval(beat, HEARTBEAT_MS);
  const door = await store.openDoor();
  const machine = await machines.start("front-a-1", { zone: "a", store: door });
  await pause(5_000);
  const calls = [];
  const timer = setInterval(
    () => calls.push(order(machine, `r-${calls.length + 1}`)),
    SEND_EVERY_MS,
  );
  await pause(1_000);
  clearInterval(beats);
  beat();
  await pause(700);
  if (HAS_TROUBLE) {
    const count = store.cutWatches("servers");
    record.add(`store: cuts off ${count} watch of the servers that waits`);
  }
  await pause(REMOVED_AFTER_MS);
  hasLeft = true;
  store.remove("servers", leaving.id);
  const removedAt = record.seconds();
  record.add(`store: the entry of ${leaving.id} is removed`);
  beats = setInterval(beat, HEARTBEAT_MS);
  await pause(GOES_ON_MS);
  record.add(`server: ${leaving.id} exits`);
  leaving.stop();
  await pause(1_500);
  clearInterval(timer);
  clearInterval(beats);
  await pause(1_000);
  for (const shop of shops) shop.stop();
  return judge(calls, leaving, removedAt);
}

/** DRAIN, by what the clients and the server have seen. */
function judge(calls, leaving, removedAt) {
  const late = leaving.arrivals.filter(
    ({ at }) => at > removedAt + DRAIN_MS / 1_000,
  );
  for (const { requestId, at } of late) {
    const call = calls.find(({ id }) => id === requestId);
    record.add(
      `server: ${leaving.id} got ${requestId} ` +
        `${(at - removedAt).toFixed(3)} s after the removal; ` +
        `its client had ${call?.status}`,
    );
  }
  const served = calls.filter(({ status }) => status === 200);
  record.add(`client: ${calls.length} orders, ${served.length} served`);
  record.add(
    late.length > 0
      ? `DRAIN is broken by ${late.length} requests`
      : "DRAIN holds",
  );
  return late.length > 0 ? 1 : 0;
}

const machines = createMachines();
const store = await startStore();
let status = 2;
try {
  status = await run(machines, store);
} catch (error) {
  record.add(`the case couldn't run: ${error}`);
} finally {
  await machines.stop();
  store.stop();
  record.write();
}
process.exit(status);
