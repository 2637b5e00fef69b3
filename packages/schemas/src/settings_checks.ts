/** Checks between parts of the settings that no single schema can see. */
import { checkPlacement } from "./placement_checks.ts";
import type { Settings } from "./settings.ts";
import { findRepeated, type SettingsProblem } from "./settings_problem.ts";

/** Finds what does not fit together; the settings are valid by schema. */
export function checkSettings(settings: Settings): readonly SettingsProblem[] {
  return [
    ...checkOrganisations(settings),
    ...checkWork(settings),
    ...checkFailureDomains(settings),
    ...checkPeers(settings),
    ...checkEngines(settings),
    ...checkPlacement(settings),
    ...checkServices(settings),
  ];
}

function checkOrganisations(settings: Settings): SettingsProblem[] {
  const { organisations, adminKeySha256 } = settings;
  const at = (index: number, key: string) => ["organisations", index, key];
  const admins = organisations.flatMap(({ keySha256 }, index) =>
    keySha256 === adminKeySha256
      ? [
          {
            path: at(index, "keySha256"),
            message: "expected a key that is not the administrators' key",
          },
        ]
      : [],
  );
  return [
    ...findRepeated(
      organisations.map(({ name }, index) => ({
        path: at(index, "name"),
        value: name,
      })),
      "expected a name that no other organisation has",
    ),
    ...findRepeated(
      organisations.map(({ keySha256 }, index) => ({
        path: at(index, "keySha256"),
        value: keySha256,
      })),
      "expected a key that no other organisation has",
    ),
    ...admins,
  ];
}

function checkWork({ work, organisations }: Settings): SettingsProblem[] {
  const known = new Set(organisations.map(({ name }) => name));
  const unknown = work.flatMap((kind, index) =>
    (kind.organisations ?? []).flatMap((name, position) =>
      known.has(name)
        ? []
        : [
            {
              path: ["work", index, "organisations", position],
              message: `expected an organisation of these settings, not '${name}'`,
            },
          ],
    ),
  );
  const names = work.map(({ name }, index) => ({
    path: ["work", index, "name"],
    value: name,
  }));
  return [
    ...findRepeated(names, "expected a name that no other kind of work has"),
    ...unknown,
  ];
}

function checkFailureDomains(settings: Settings): SettingsProblem[] {
  const { failureDomains, instance, peers, engines, services } = settings;
  if (!failureDomains) return [];
  const known = new Set(failureDomains);
  const used = [
    { path: ["instance"], failureDomain: instance.failureDomain },
    ...peers.map(({ failureDomain }, index) => ({
      path: ["peers", index],
      failureDomain,
    })),
    ...engines.map(({ failureDomain }, index) => ({
      path: ["engines", index],
      failureDomain,
    })),
    ...services.flatMap(({ servers }, service) =>
      servers.map(({ failureDomain }, index) => ({
        path: ["services", service, "servers", index],
        failureDomain,
      })),
    ),
  ];
  return used
    .filter(({ failureDomain }) => !known.has(failureDomain))
    .map(({ path, failureDomain }) => ({
      path: [...path, "failureDomain"],
      message: `expected one of failureDomains (${failureDomains.join(", ")}), not '${failureDomain}'`,
    }));
}

function checkPeers({ instance, peers }: Settings): SettingsProblem[] {
  const { callers, peers: own, admin, advertisedPeers } = instance.addresses;
  const ownAddresses = [
    { path: ["instance", "addresses", "callers"], value: addressKey(callers) },
    { path: ["instance", "addresses", "peers"], value: addressKey(own) },
    { path: ["instance", "addresses", "admin"], value: addressKey(admin) },
  ];
  if (advertisedPeers && addressKey(advertisedPeers) !== addressKey(own)) {
    ownAddresses.push({
      path: ["instance", "addresses", "advertisedPeers"],
      value: addressKey(advertisedPeers),
    });
  }
  const peerAddresses = peers.map(({ address }, index) => ({
    path: ["peers", index, "address"],
    value: addressKey(address),
  }));
  const ids = peers.map(({ id }, index) => ({
    path: ["peers", index, "id"],
    value: id,
  }));
  return [
    ...findRepeated(
      [{ path: ["instance", "id"], value: instance.id }, ...ids],
      "expected an id that neither this instance nor another peer has",
    ),
    ...findRepeated(
      [...ownAddresses, ...peerAddresses],
      "expected an address that nothing else here has",
    ),
  ];
}

function checkEngines({ engines }: Settings): SettingsProblem[] {
  const repeatedRoles = engines.flatMap(({ roles }, index) =>
    findRepeated(
      roles.map(({ model }, role) => ({
        path: ["engines", index, "roles", role, "model"],
        value: model,
      })),
      "expected one role for each model of an engine",
    ),
  );
  return [
    ...findRepeated(
      engines.map(({ id }, index) => ({
        path: ["engines", index, "id"],
        value: id,
      })),
      "expected an id that no other engine has",
    ),
    ...findRepeated(
      engines.map(({ address }, index) => ({
        path: ["engines", index, "address"],
        value: addressKey(address),
      })),
      "expected an address that no other engine has",
    ),
    ...repeatedRoles,
    ...findUnreachableRoles(engines),
  ];
}

/** A range that no other range leads up to can be in no pipeline. */
function findUnreachableRoles(engines: Settings["engines"]): SettingsProblem[] {
  const ends = new Set(
    engines.flatMap(({ roles }) =>
      roles.map(({ model, layers }) => `${model}:${layers.to}`),
    ),
  );
  return engines.flatMap(({ roles }, index) =>
    roles.flatMap(({ model, layers: { from } }, role) =>
      from === 0 || ends.has(`${model}:${from}`)
        ? []
        : [
            {
              path: ["engines", index, "roles", role, "layers", "from"],
              message: `expected 0, or a layer of '${model}' at which another engine's range ends`,
            },
          ],
    ),
  );
}

function checkServices({ services }: Settings): SettingsProblem[] {
  const names = services.map(({ name }, index) => ({
    path: ["services", index, "name"],
    value: name,
  }));
  const servers = services.flatMap((service, index) =>
    service.servers.map(({ id }, server) => ({
      path: ["services", index, "servers", server, "id"],
      value: id,
    })),
  );
  const rules = services.flatMap((service, index) =>
    findRepeated(
      service.calls.map(({ method, path }, rule) => ({
        path: ["services", index, "calls", rule],
        value: `${method} ${path}`,
      })),
      "expected one rule for each method and path",
    ),
  );
  return [
    ...findRepeated(names, "expected a name that no other service has"),
    ...findRepeated(servers, "expected an id that no other server has"),
    ...rules,
  ];
}

function addressKey(address: { host: string; port: number }): string {
  return `${address.host}:${address.port}`;
}
