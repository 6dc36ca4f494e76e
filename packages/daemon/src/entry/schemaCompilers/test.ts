import { readdir, readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { fastify } from 'fastify'
import { NO_SCHEMA_COMPILERS } from './index.ts'

describe('NO_SCHEMA_COMPILERS', () => {
  // Guards against a route whose schema is ignored, so that its requests would not be checked.
  for (const schema of [{ querystring: { type: 'object' } }, { response: { 200: { type: 'object' } } }]) {
    it(`makes the start fail when a route has a schema for ${Object.keys(schema)}`, async () => {
      const server = fastify({ schemaController: NO_SCHEMA_COMPILERS })
      server.get('/', { schema }, () => ({}))
      const error = await server.ready().then(() => undefined, (error: Error) => error)
      expect(error?.message).to.include('routes of the entry have no schemas')
    })
  }

  // Guards against start times that grow because every entry loads code that it never uses.
  it('leaves the schema compilers out of the built daemon', async () => {
    const directory = fileURLToPath(new URL('../../../dist/', import.meta.url))
    const files = (await readdir(directory)).filter((name) => name.endsWith('.js'))
    const sources = await Promise.all(files.map((name) => readFile(`${directory}${name}`, 'utf8')))
    // esbuild writes the path of each bundled module above its code.
    const packages = new Set(sources.flatMap((source) =>
      [...source.matchAll(/^\/\/ node_modules\/((?:@[^/\n]+\/)?[^/\n]+)/gm)].map(([, name]) => name)))
    expect(packages).to.include('fastify')
    const compilers = ['ajv', 'ajv-formats', '@fastify/ajv-compiler', '@fastify/fast-json-stringify-compiler']
    expect(compilers.filter((name) => packages.has(name))).to.deep.equal([])
  })
})
