/**
 * Builds the program that `system.toml` runs: `node deploy/build.mjs [FOLDER]`,
 * `target` by default.
 *
 * Processes may run from the folder, start and end meanwhile. Files whose
 * content may change are named after their content, are put in place by a
 * rename, and are never written again: a running process keeps what it has
 * mapped, and one that starts finds a program whose parts belong together. The
 * entry, which names the other files, comes last.
 */

import { createHash, randomBytes } from "node:crypto";
import {
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createRequire } from "node:module";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { findDependencies } from "./find_dependencies.mjs";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const ENTRY_NAME = "sassafrasstage.cjs";
const ENTRY_SOURCE = "platform/src/start.ts";
const HANDLERS_SOURCE = "packages/daemon/src/process/early_handlers.ts";
/** All that isn't needed for the handling of signals. */
const PROGRAM_SOURCE = "platform/src/main.ts";
const HASH_LENGTH = 16;

const target = resolve(ROOT, process.argv[2] ?? "target");
mkdirSync(target, { recursive: true });
const dependencies = findDependencies(ROOT, target);
const esbuild = createRequire(join(dependencies.folder, "package.json"))(
  "esbuild",
);

const library = readFileSync(dependencies.nativeLibrary);
const libraryName = `koffi-${hashOf(library)}.node`;
const handlers = await bundle(HANDLERS_SOURCE, []);
const handlersName = `handlers-${hashOf(handlers)}.cjs`;
const program = await bundle(PROGRAM_SOURCE, [
  replaceKoffi(),
  replaceHandlers(),
]);
const programName = `program-${hashOf(program)}.cjs`;
const entry = await bundle(ENTRY_SOURCE, [
  replaceHandlers(),
  replaceProgram(),
]);
place(libraryName, library);
place(handlersName, handlers);
place(programName, program);
place(ENTRY_NAME, entry);

/** Compiles from the sources, so that no result of an earlier build is used. */
async function bundle(source, plugins) {
  const { outputFiles } = await esbuild.build({
    entryPoints: [source],
    absWorkingDir: ROOT,
    bundle: true,
    write: false,
    platform: "node",
    format: "cjs",
    target: "node20",
    // A dynamic import becomes `require`, which loads faster.
    supported: { "dynamic-import": false },
    alias: {
      "@sassafrasstage/daemon": join(ROOT, "packages/daemon/src"),
      "@sassafrasstage/protocol": join(ROOT, "packages/protocol/src"),
    },
    plugins: [...plugins, resolveDependencies()],
    logLevel: "warning",
  });
  return outputFiles[0].contents;
}

/** Takes packages from the installation that was checked, not from any other. */
function resolveDependencies() {
  return {
    name: "dependencies",
    setup({ onResolve, resolve: resolveImport }) {
      onResolve({ filter: /^[^./]/ }, ({ path, importer, ...options }) => {
        const isInstalled = importer.includes("/node_modules/");
        if (isInstalled || path.startsWith("@sassafrasstage/")) return;
        if (options.pluginData === "resolved") return;
        return resolveImport(path, {
          kind: options.kind,
          resolveDir: dependencies.folder,
          pluginData: "resolved",
        });
      });
    },
  };
}

/** Loads the native library itself, without the search of koffi's own loader. */
function replaceKoffi() {
  return {
    name: "koffi",
    setup({ onResolve, onLoad }) {
      onResolve({ filter: /^koffi$/ }, () => ({
        path: "koffi",
        namespace: "native",
      }));
      onLoad({ filter: /.*/, namespace: "native" }, () => ({
        contents: nativeLoader(),
        loader: "js",
      }));
    },
  };
}

/**
 * The system's loader maps a truncated library, which then ends the process. A
 * fault is reported by the first use, so that the process starts without it.
 */
function nativeLoader() {
  return `
    const { createHash } = require("node:crypto");
    const { readFileSync } = require("node:fs");
    function loadLibrary() {
      const path = require("node:path").join(__dirname, "${libraryName}");
      const hash = createHash("sha256").update(readFileSync(path)).digest("hex");
      if (!hash.startsWith("${hashOf(library)}")) {
        throw new Error(path + " is damaged");
      }
      const loaded = { exports: {} };
      process.dlopen(loaded, path);
      return loaded.exports;
    }
    try {
      module.exports = loadLibrary();
    } catch (error) {
      module.exports = {
        load() {
          throw error;
        },
      };
    }
  `;
}

/** Both parts of the program share the state of this module. */
function replaceHandlers() {
  return replaceModule(/\/process\/early_handlers$/, handlersName);
}

function replaceProgram() {
  return replaceModule(/^\.\/main\.js$/, programName);
}

/** The module is loaded from a file beside the bundle. */
function replaceModule(filter, name) {
  return {
    name,
    setup({ onResolve }) {
      onResolve({ filter }, () => ({ path: `./${name}`, external: true }));
    },
  };
}

function hashOf(content) {
  return createHash("sha256").update(content).digest("hex")
    .slice(0, HASH_LENGTH);
}

/** Does nothing if the file has this content. */
function place(name, content) {
  const path = join(target, name);
  if (hasContent(path, content)) return;
  const temporary = `${path}.${randomBytes(6).toString("hex")}.tmp`;
  try {
    writeFileSync(temporary, content);
    renameSync(temporary, path);
  } finally {
    rmSync(temporary, { force: true });
  }
}

function hasContent(path, content) {
  try {
    return readFileSync(path).equals(content);
  } catch {
    return false;
  }
}
