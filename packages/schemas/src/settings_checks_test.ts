import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { releaseNoteSchema } from "./release_note.ts";
import { settingsSchema } from "./settings.ts";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const examples = fileURLToPath(new URL("../../../examples/", import.meta.url));

function readExample(name: string): string {
  return readFileSync(`${examples}${name}`, "utf8");
}

function check(text: string, file = "kanem.yaml") {
  return parseYamlFile(settingsSchema, { text, file });
}

/** Problems after each `[from, to]` was replaced once in the example. */
function problemsAfter(...edits: readonly (readonly [string, string])[]) {
  const text = edits.reduce((before, [from, to]) => {
    expect(before).toContain(from);
    return before.replace(from, to);
  }, readExample("kanem.yaml"));
  const result = check(text);
  return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

describe("the example settings", () => {
  it.each(["kanem", "bandari_tupu"])("of %s are valid", (name) => {
    const result = check(readExample(`${name}.yaml`));
    expect(result).toMatchObject({ kind: "valid" });
    if (result.kind === "invalid") return;
    const { peers, engines, services, organisations } = result.value;
    expect(peers).toHaveLength(3);
    expect(engines).toHaveLength(39);
    expect(services[0]?.servers).toHaveLength(3);
    expect(organisations).toHaveLength(10);
  });

  it.each(["kanem", "bandari_tupu"])("of %s have a first note", (name) => {
    const text = readExample(`${name}_note_1.yaml`);
    const schema = releaseNoteSchema.omit({ publishId: true });
    expect(parseYamlFile(schema, { text, file: name }).kind).toBe("valid");
  });
});

describe("settings that do not fit together", () => {
  const table: readonly (readonly [string, readonly [string, string][]])[] = [
    [
      "two organisations of one name",
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
    ["two engines of one id", [["id: engine-2\n", "id: engine-1\n"]]],
    [
      "two engines at one address",
      [["host: 10.20.1.102", "host: 10.20.1.101"]],
    ],
    ["a range that goes backwards", [["from: 32, to: 64", "from: 64, to: 32"]]],
    [
      "a range that no other leads up to",
      [["from: 32, to: 64", "from: 30, to: 64"]],
    ],
    ["two equal rules of a service", [["path: /visits", "path: /orders"]]],
    ["two servers of one id", [["id: dealer-app-2", "id: dealer-app-1"]]],
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
      "work of an unknown organisation",
      [
        [
          "priority: batch\n\n# 39",
          "priority: batch\n    organisations: [nobody]\n\n# 39",
        ],
      ],
    ],
    ["an unknown key", [["region: ng-south", "regoin: ng-south"]]],
    [
      "several problems at once",
      [
        ["port: 8080", "port: high"],
        ["weight: 6", "weight: -1"],
      ],
    ],
    [
      "a key in the clear",
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

  it.each(table)("%s", (_title, edits) => {
    expect(problemsAfter(...edits)).toMatchSnapshot();
  });

  it("two organisations with one key", () => {
    const hashes = [
      ...readExample("kanem.yaml").matchAll(/keySha256: (\w+)/g),
    ].map((match) => match[1] ?? "");
    const [first = "", second = ""] = hashes;
    expect(problemsAfter([second, first])).toMatchSnapshot();
  });

  it("never repeat a key in the clear", () => {
    const secret = "example-key-of-administrators-in-the-clear";
    const text = readExample("kanem.yaml").replace(
      /adminKeySha256: \w+/,
      `adminKeySha256: ${secret}`,
    );
    expect(JSON.stringify(check(text))).not.toContain(secret);
  });
});
