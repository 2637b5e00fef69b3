import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { releaseNoteSchema } from "./release_note.ts";
import { settingsSchema } from "./settings.ts";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const exampleFolder = fileURLToPath(
  new URL("../../../examples/", import.meta.url),
);

function readExample(name: string): string {
  return readFileSync(`${exampleFolder}${name}`, "utf8");
}

function parseSettings(text: string, file = "kanem.yaml") {
  return parseYamlFile(settingsSchema, { text, file });
}

/** Problems of the example after replacing the first `from` of each edit. */
function problemsAfter(...edits: readonly (readonly [string, string])[]) {
  const text = edits.reduce((before, [from, to]) => {
    expect(before).toContain(from);
    return before.replace(from, to);
  }, readExample("kanem.yaml"));
  const result = parseSettings(text);
  return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

describe("example settings", () => {
  it.each(["kanem", "bandari_tupu"])(
    "%s.yaml passes the settings checks",
    (name) => {
      const result = parseSettings(readExample(`${name}.yaml`));
      expect(result).toMatchObject({ kind: "valid" });
      if (result.kind === "invalid") return;
      const { peers, engines, services, organisations } = result.value;
      expect(peers).toHaveLength(3);
      expect(engines).toHaveLength(39);
      expect(services[0]?.servers).toHaveLength(3);
      expect(organisations).toHaveLength(10);
    },
  );

  it.each(["kanem", "bandari_tupu"])(
    "%s_note_1.yaml is a valid release note",
    (name) => {
      const text = readExample(`${name}_note_1.yaml`);
      const schema = releaseNoteSchema.omit({ publishId: true });
      expect(parseYamlFile(schema, { text, file: name }).kind).toBe("valid");
    },
  );
});

describe("settings checks", () => {
  const table: readonly (readonly [string, readonly [string, string][]])[] = [
    [
      "two organisations with the same name",
      [["name: lagos-dealers", "name: kano-dealers"]],
    ],
    [
      "an unknown failure domain",
      [["failureDomain: ng-south-c", "failureDomain: ng-south-x"]],
    ],
    [
      "an instance in an unknown failure domain",
      [["failureDomain: ng-south-a", "failureDomain: here"]],
    ],
    ["two engines with the same id", [["id: engine-2\n", "id: engine-1\n"]]],
    [
      "two engines at the same address",
      [["host: 10.20.1.102", "host: 10.20.1.101"]],
    ],
    [
      "a layer range that ends before it starts",
      [["from: 32, to: 64", "from: 64, to: 32"]],
    ],
    [
      "a layer range that no other range ends at",
      [["from: 32, to: 64", "from: 30, to: 64"]],
    ],
    [
      "two rules of a service for the same call",
      [["path: /visits", "path: /orders"]],
    ],
    [
      "two servers with the same id",
      [["id: dealer-app-2", "id: dealer-app-1"]],
    ],
    ["a peer with this instance's id", [["id: entry-2", "id: entry-1"]]],
    [
      "a peer at this instance's address",
      [["host: 10.20.2.10, port: 8081", "host: 10.20.1.10, port: 8081"]],
    ],
    [
      "a peer at the address that this instance advertises",
      [
        [
          "port: 8081 } # TCP and UDP",
          "port: 8081 }\n    advertisedPeers: { host: 10.20.2.10, port: 8081 }",
        ],
      ],
    ],
    [
      "a kind of work of an unknown organisation",
      [
        [
          "priority: batch\n\n# 39",
          "priority: batch\n    organisations: [nobody]\n\n# 39",
        ],
      ],
    ],
    ["an unknown key", [["region: ng-south", "regoin: ng-south"]]],
    [
      "several invalid values, each with its own line",
      [
        ["port: 8080", "port: high"],
        ["weight: 6", "weight: -1"],
      ],
    ],
    [
      "a key in clear text instead of its hash",
      [
        [
          /keySha256: (\w+)/.exec(readExample("kanem.yaml"))?.[0] ?? "",
          "keySha256: example-key-of-kano-dealers",
        ],
      ],
    ],
    [
      "a name that objects inherit",
      [["model: assist,", "model: constructor,"]],
    ],
  ];

  it.each(table)("refuse %s", (_title, edits) => {
    expect(problemsAfter(...edits)).toMatchSnapshot();
  });

  it("refuse two organisations with the same key", () => {
    const hashes = [
      ...readExample("kanem.yaml").matchAll(/keySha256: (\w+)/g),
    ].map((match) => match[1] ?? "");
    const [first = "", second = ""] = hashes;
    expect(problemsAfter([second, first])).toMatchSnapshot();
  });

  it("never print a key in clear text", () => {
    const secret = "example-key-of-administrators-in-the-clear";
    const text = readExample("kanem.yaml").replace(
      /adminKeySha256: \w+/,
      `adminKeySha256: ${secret}`,
    );
    expect(JSON.stringify(parseSettings(text))).not.toContain(secret);
  });
});
