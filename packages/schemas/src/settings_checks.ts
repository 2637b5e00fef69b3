/** Checks between parts of the settings, which no single schema covers. */
import { checkPlacement } from "./placement_checks.ts";
import type { Settings } from "./settings.ts";
import { findDuplicates, type SettingsProblem } from "./settings_problem.ts";

/** Finds inconsistencies in settings that are valid by the schema. */
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
  const pathTo = (index: number, key: string) => ["organisations", index, key];
  const reusedAdminKeys = organisations.flatMap(({ keySha256 }, index) =>
    keySha256 === adminKeySha256
      ? [
          {
            path: pathTo(index, "keySha256"),
            message: "expected a key that is not the administrators' key",
          },
        ]
      : [],
  );
  return [
    ...findDuplicates(
      organisations.map(({ name }, index) => ({
        path: pathTo(index, "name"),
        value: name,
      })),
      "expected a name that no other organisation has",
    ),
    ...findDuplicates(
      organisations.map(({ keySha256 }, index) => ({
        path: pathTo(index, "keySha256"),
        value: keySha256,
      })),
      "expected a key that no other organisation has",
    ),
    ...reusedAdminKeys,
  ];
}

function checkWork({ work, organisations }: Settings): SettingsProblem[] {
  const organisationNames = new Set(organisations.map(({ name }) => name));
  const unknownOrganisations = work.flatMap((kind, index) =>
    (kind.organisations ?? []).flatMap((name, position) =>
      organisationNames.has(name)
        ? []
        : [
            {
              path: ["work", index, "organisations", position],
              message: `expected an organisation of these settings, not '${name}'`,
            },
          ],
    ),
  );
  const workNames = work.map(({ name }, index) => ({
    path: ["work", index, "name"],
    value: name,
  }));
  return [
    ...findDuplicates(
      workNames,
      "expected a name that no other kind of work has",
    ),
    ...unknownOrganisations,
  ];
}

function checkFailureDomains(settings: Settings): SettingsProblem[] {
  const { failureDomains, instance, peers, engines, services } = settings;
  if (!failureDomains) return [];
  const declaredDomains = new Set(failureDomains);
  const usedDomains = [
    { path: ["instance"], failureDomain: instance.failureDomain },
    ...peers.map(({ failureDomain }, index) => ({
      path: ["peers", index],
      failureDomain,
    })),
    ...engines.map(({ failureDomain }, index) => ({
      path: ["engines", index],
      failureDomain,
    })),
    ...services.flatMap(({ servers }, serviceIndex) =>
      servers.map(({ failureDomain }, index) => ({
        path: ["services", serviceIndex, "servers", index],
        failureDomain,
      })),
    ),
  ];
  return usedDomains
    .filter(({ failureDomain }) => !declaredDomains.has(failureDomain))
    .map(({ path, failureDomain }) => ({
      path: [...path, "failureDomain"],
      message: `expected one of failureDomains (${failureDomains.join(", ")}), not '${failureDomain}'`,
    }));
}

function checkPeers({ instance, peers }: Settings): SettingsProblem[] {
  const {
    callers,
    peers: peerListener,
    admin,
    advertisedPeers,
  } = instance.addresses;
  const instanceAddresses = [
    { path: ["instance", "addresses", "callers"], value: addressKey(callers) },
    {
      path: ["instance", "addresses", "peers"],
      value: addressKey(peerListener),
    },
    { path: ["instance", "addresses", "admin"], value: addressKey(admin) },
  ];
  if (
    advertisedPeers &&
    addressKey(advertisedPeers) !== addressKey(peerListener)
  ) {
    instanceAddresses.push({
      path: ["instance", "addresses", "advertisedPeers"],
      value: addressKey(advertisedPeers),
    });
  }
  const peerAddresses = peers.map(({ address }, index) => ({
    path: ["peers", index, "address"],
    value: addressKey(address),
  }));
  const peerIds = peers.map(({ id }, index) => ({
    path: ["peers", index, "id"],
    value: id,
  }));
  return [
    ...findDuplicates(
      [{ path: ["instance", "id"], value: instance.id }, ...peerIds],
      "expected an id that neither this instance nor another peer has",
    ),
    ...findDuplicates(
      [...instanceAddresses, ...peerAddresses],
      "expected an address that no other listener or peer has",
    ),
  ];
}

function checkEngines({ engines }: Settings): SettingsProblem[] {
  const duplicateRoles = engines.flatMap(({ roles }, index) =>
    findDuplicates(
      roles.map(({ model }, roleIndex) => ({
        path: ["engines", index, "roles", roleIndex, "model"],
        value: model,
      })),
      "expected one role for each model of an engine",
    ),
  );
  return [
    ...findDuplicates(
      engines.map(({ id }, index) => ({
        path: ["engines", index, "id"],
        value: id,
      })),
      "expected an id that no other engine has",
    ),
    ...findDuplicates(
      engines.map(({ address }, index) => ({
        path: ["engines", index, "address"],
        value: addressKey(address),
      })),
      "expected an address that no other engine has",
    ),
    ...duplicateRoles,
    ...findRolesWithoutPredecessor(engines),
  ];
}

/**
 * Finds roles that no pipeline can include: their layer range starts neither at
 * 0 nor where another range of the model ends.
 */
function findRolesWithoutPredecessor(
  engines: Settings["engines"],
): SettingsProblem[] {
  const rangeEnds = new Set(
    engines.flatMap(({ roles }) =>
      roles.map(({ model, layers }) => `${model}:${layers.to}`),
    ),
  );
  return engines.flatMap(({ roles }, index) =>
    roles.flatMap(({ model, layers: { from } }, roleIndex) =>
      from === 0 || rangeEnds.has(`${model}:${from}`)
        ? []
        : [
            {
              path: ["engines", index, "roles", roleIndex, "layers", "from"],
              message: `expected 0, or a layer of '${model}' at which another engine's range ends`,
            },
          ],
    ),
  );
}

function checkServices({ services }: Settings): SettingsProblem[] {
  const serviceNames = services.map(({ name }, index) => ({
    path: ["services", index, "name"],
    value: name,
  }));
  const serverIds = services.flatMap((service, index) =>
    service.servers.map(({ id }, serverIndex) => ({
      path: ["services", index, "servers", serverIndex, "id"],
      value: id,
    })),
  );
  const duplicateRules = services.flatMap((service, index) =>
    findDuplicates(
      service.calls.map(({ method, path }, ruleIndex) => ({
        path: ["services", index, "calls", ruleIndex],
        value: `${method} ${path}`,
      })),
      "expected one rule for each method and path",
    ),
  );
  return [
    ...findDuplicates(
      serviceNames,
      "expected a name that no other service has",
    ),
    ...findDuplicates(serverIds, "expected an id that no other server has"),
    ...duplicateRules,
  ];
}

function addressKey(address: { host: string; port: number }): string {
  return `${address.host}:${address.port}`;
}
