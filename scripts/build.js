/**
 * Bundles the binaries and the stand-in programs with esbuild. Registry packages are bundled too, because
 * unused code left out of the bundle costs no resident memory. Roles are loaded by dynamic import, so that a process
 * loads only the code of its own role.
 */
import { chmod, rm } from 'node:fs/promises'
import { build } from 'esbuild'

const programs = [
  { directory: 'packages/daemon', entryPoints: ['gypsumspringd'] },
  { directory: 'packages/cli', entryPoints: ['gypsumctl'] },
  { directory: 'packages/bench', entryPoints: ['bench'] },
  { directory: 'packages/standins', entryPoints: ['endpoints', 'platform', 'quickstart', 'workers'] },
  { directory: 'platform', entryPoints: ['main'], out: 'target' }
]

// The directory of one program builds that one only.
const [only] = process.argv.slice(2)

for (const { directory, entryPoints, out = `${directory}/dist` } of programs) {
  if (only !== undefined && only !== directory) continue
  await rm(out, { recursive: true, force: true })
  await build({
    entryPoints: entryPoints.map((name) => `${directory}/src/${name}.ts`),
    outdir: out,
    bundle: true,
    splitting: true,
    format: 'esm',
    platform: 'node',
    target: 'node20',
    sourcemap: true,
    // The platform's program is started on small machines, where parsing costs a noticeable part of a restart.
    minifySyntax: directory === 'platform',
    minifyWhitespace: directory === 'platform',
    logLevel: 'warning',
    // CommonJS packages in the bundle call require for Node's own modules.
    banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
  })
  for (const name of entryPoints) {
    await chmod(`${out}/${name}.js`, 0o755)
  }
}
