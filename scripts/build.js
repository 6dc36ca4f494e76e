/**
 * Bundles all programs with esbuild. Registry packages are bundled too, since unused code that the bundle leaves out
 * takes no resident memory. Roles are loaded by dynamic import and code splitting keeps them in separate files, so that
 * a process loads only the code of its own role.
 *
 * Usage: node scripts/build.js [DIRECTORY], where the directory of a program limits the build to that program.
 */
import { chmod, rm } from 'node:fs/promises'
import { build } from 'esbuild'

const programs = [
  {
    directory: 'packages/daemon',
    entryPoints: ['gypsumspringd'],
    // Never loaded, see packages/daemon/src/entry/schemaCompilers.
    external: ['@fastify/ajv-compiler', '@fastify/fast-json-stringify-compiler']
  },
  { directory: 'packages/cli', entryPoints: ['gypsumctl'] },
  { directory: 'packages/bench', entryPoints: ['bench'] },
  { directory: 'packages/standins', entryPoints: ['endpoints', 'platform', 'quickstart', 'workers'] },
  { directory: 'platform', entryPoints: ['main'], out: 'target' }
]

// The arguments of `scripts/bench.js`, which name benchmarks, are no directories of programs.
const onlyDirectory = process.argv.slice(2).find((argument) => programs.some(({ directory }) => directory === argument))

for (const { directory, entryPoints, external = [], out = `${directory}/dist` } of programs) {
  if (onlyDirectory !== undefined && onlyDirectory !== directory) continue
  await rm(out, { recursive: true, force: true })
  await build({
    entryPoints: entryPoints.map((name) => `${directory}/src/${name}.ts`),
    outdir: out,
    bundle: true,
    external,
    splitting: true,
    format: 'esm',
    platform: 'node',
    target: 'node20',
    sourcemap: true,
    // The platform program runs on small machines, where parsing takes a noticeable part of a restart.
    minifySyntax: directory === 'platform',
    minifyWhitespace: directory === 'platform',
    logLevel: 'warning',
    // CommonJS packages in the bundle call `require` for the built-in modules of Node.js.
    banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
  })
  for (const name of entryPoints) {
    await chmod(`${out}/${name}.js`, 0o755)
  }
}
