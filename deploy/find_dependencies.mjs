/**
 * Finds the installed packages that the build needs, or installs them.
 *
 * A `node_modules` folder may be older than the lock file, incomplete, or from a
 * machine with another kind of processor. It is left alone then, and the
 * packages are installed below the target folder.
 */

import { execFileSync } from "node:child_process";
import { createHash, randomBytes } from "node:crypto";
import {
  cpSync,
  existsSync,
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
} from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";

const PACKAGE_PREFIX = "node_modules/";
/** Builds for one kind of machine, which npm treats as optional packages. */
const ESBUILD = `@esbuild/${process.platform}-${process.arch}`;
const KOFFI = `@koromix/koffi-${process.platform}-${process.arch}`;
const INSTALL_FLAGS = [
  "--silent",
  "--no-audit",
  "--no-fund",
  "--ignore-scripts",
  "--prefer-offline",
  "--workspace=platform",
];
const PROBE = "const answer: number = 1";

/**
 * @param {string} root of the repository
 * @param {string} target folder for an installation of its own
 * @returns {{ folder: string, nativeLibrary: string }} folder that holds
 *   `node_modules`, and the path of koffi's native library
 */
export function findDependencies(root, target) {
  const lock = JSON.parse(readFileSync(join(root, "package-lock.json")));
  if (isUsable(root, lock)) return describe(root);
  const manifests = ["package.json", "package-lock.json"].concat(
    Object.keys(lock.packages)
      .filter((path) => path !== "" && !path.includes(PACKAGE_PREFIX))
      .map((path) => join(path, "package.json")),
  );
  const folder = join(target, `dependencies-${keyOf(root, manifests)}`);
  if (!isUsable(folder, lock)) install({ root, folder, manifests });
  return describe(folder);
}

function describe(folder) {
  const libc = process.report.getReport().header.glibcVersionRuntime;
  const { platform, arch } = process;
  const kind = platform === "linux" && libc === undefined ? "musl" : platform;
  const path = join(PACKAGE_PREFIX, KOFFI, `${kind}_${arch}`, "koffi.node");
  return { folder, nativeLibrary: join(folder, path) };
}

function isUsable(folder, lock) {
  for (const name of neededPackages(lock)) {
    const version = lock.packages[PACKAGE_PREFIX + name]?.version;
    if (installedVersion(folder, name) !== version) return false;
  }
  return existsSync(describe(folder).nativeLibrary) && canBundle(folder);
}

/** All that the program imports, directly or not, and what bundles it. */
function neededPackages(lock) {
  const names = new Set(["esbuild", ESBUILD, KOFFI]);
  const paths = ["platform", "packages/daemon", "packages/protocol"];
  for (const path of paths) {
    const { dependencies } = lock.packages[path] ?? {};
    for (const name of Object.keys(dependencies ?? {})) {
      const entry = lock.packages[PACKAGE_PREFIX + name];
      if (entry === undefined || entry.link || names.has(name)) continue;
      names.add(name);
      paths.push(PACKAGE_PREFIX + name);
    }
  }
  return names;
}

function installedVersion(folder, name) {
  try {
    const path = join(folder, PACKAGE_PREFIX, name, "package.json");
    // Some packages write it with the v of their tags.
    return JSON.parse(readFileSync(path)).version.replace(/^v/, "");
  } catch {
    return undefined;
  }
}

function canBundle(folder) {
  try {
    const require = createRequire(join(folder, "package.json"));
    const options = { loader: "ts" };
    return require("esbuild").transformSync(PROBE, options).code !== "";
  } catch {
    return false;
  }
}

/** Builds at the same time each install aside; the first to finish is used. */
function install({ root, folder, manifests }) {
  const staging = `${folder}.${randomBytes(6).toString("hex")}.tmp`;
  try {
    for (const path of manifests) {
      mkdirSync(join(staging, path, ".."), { recursive: true });
      cpSync(join(root, path), join(staging, path));
    }
    execFileSync("npm", ["ci", ...INSTALL_FLAGS], {
      cwd: staging,
      stdio: ["ignore", "inherit", "inherit"],
    });
    // Only builds read it, so a damaged one may be moved away.
    if (existsSync(folder)) renameSync(folder, `${staging}.old`);
    renameSync(staging, folder);
  } catch (error) {
    if (!existsSync(folder)) throw error;
  } finally {
    rmSync(staging, { recursive: true, force: true });
    rmSync(`${staging}.old`, { recursive: true, force: true });
  }
}

function keyOf(root, manifests) {
  const hash = createHash("sha256");
  hash.update(`${process.platform} ${process.arch}`);
  for (const path of manifests) hash.update(readFileSync(join(root, path)));
  return hash.digest("hex").slice(0, 16);
}
