/**
 * Generates the reference pages from the schemas: `npm run docs`. With `--check`, writes nothing and fails when a page
 * differs from what would be generated.
 */
import { readFile, writeFile } from 'node:fs/promises'
import { renderInterfaces } from './docs/renderInterfaces.ts'
import { renderManifest } from './docs/renderManifest.ts'
import { renderSettings } from './docs/renderSettings.ts'

const pages: Record<string, string> = {
  'docs/reference-settings.md': renderSettings(),
  'docs/reference-manifest.md': renderManifest(),
  'docs/reference-interfaces.md': renderInterfaces()
}

const isCheck = process.argv.includes('--check')
for (const [path, text] of Object.entries(pages)) {
  if (!isCheck) await writeFile(path, text)
  else if (await readFile(path, 'utf8').catch(() => '') !== text) {
    process.stderr.write(`${path} is out of date; run 'npm run docs'\n`)
    process.exitCode = 1
  }
}
