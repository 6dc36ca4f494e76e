import type { AddressInfo } from 'node:net'
import {
  CONFIGURATION_KEY, parseManifest, type ConfigurationIndex, type Manifest
} from '@gypsumspring/protocol'
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { putManifest } from '../../configuration/index.ts'
import { setLogLevel } from '../../logging/index.ts'
import type { ProcessContext } from '../../types.ts'
import { applyOperation, type Operation } from '../applyOperation/index.ts'
import { applyScopeChange } from '../applyScopeChange/index.ts'
import { collectExplanation, collectStatus } from '../collectStatus/index.ts'
import { ConfigurationWriter } from '../configurationWriter/index.ts'
import { loadManifests } from '../loadManifests/index.ts'
import { NO_SCHEMA_COMPILERS } from '../schemaCompilers/index.ts'
import { parseVersion, respondInvalid, respondNotDone, respondToChange } from './_lib/respond.ts'

/** Response of `/readyz`: whether this entry can serve requests, and which functions are unavailable at present. */
export interface Readiness {
  ready: boolean
  reason?: string
  degraded: Array<{ dependency: string, stillServed: string, notServed: string }>
}

export interface OperatorApiOptions {
  context: Pick<
    ProcessContext, 'settings' | 'logger' | 'metrics' | 'platform' | 'configuration' | 'members' | 'peers'>
  readiness: () => Readiness
  /** Describes this entry's endpoints and slots for `GET /v1/status`. */
  describeEntry: () => unknown
}

/** Maximum size of a manifest, in bytes, since parsing one blocks the event loop of the entry. */
const MAX_MANIFEST_BYTES = 4 * 1024 * 1024

/** Maximum length of an id in a path; task ids contain the ids of scope and workload. */
const MAX_ID_LENGTH = 512

const LOG_LEVELS = ['debug', 'info', 'warn', 'error']

/** The HTTP server for operators, health and metrics. */
export class OperatorApi {
  readonly #options: OperatorApiOptions
  readonly #server: FastifyInstance
  readonly #writer: ConfigurationWriter

  constructor (options: OperatorApiOptions) {
    this.#options = options
    const { platform: { table, objects }, configuration, metrics } = options.context
    this.#writer = new ConfigurationWriter({
      table, objects, currentConfiguration: () => configuration.current, metrics
    })
    this.#server = fastify({
      bodyLimit: MAX_MANIFEST_BYTES,
      routerOptions: { maxParamLength: MAX_ID_LENGTH },
      forceCloseConnections: true,
      schemaController: NO_SCHEMA_COMPILERS
    })
    // Manifests are parsed as YAML or JSON regardless of the content type.
    this.#server.removeAllContentTypeParsers()
    this.#server.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => done(null, body))
    this.#addRoutes()
  }

  /** Starts listening and resolves with the port. Rejects if the address can't be bound. */
  async listen (port: number, host: string): Promise<number> {
    await this.#server.listen({ port, host })
    return (this.#server.server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    await this.#server.close()
  }

  #addRoutes (): void {
    const server = this.#server
    server.put('/v1/config/:scope', async (request, reply) => await this.#applyManifest(request, reply))
    server.get('/v1/config', async (_request, reply) => await this.#showConfiguration(reply))
    server.get('/v1/inforce', (request, reply) => this.#showInForce(request, reply))
    server.get('/v1/status', async () => await this.#showStatus())
    server.get('/v1/tasks/:id/explain', async (request, reply) => await this.#explain(request, reply))
    server.post('/v1/workloads/:id/cancel', async (request, reply) => {
      const { scope } = request.query as { scope?: string }
      return await this.#runOperation(reply, { kind: 'cancel', workload: (request.params as { id: string }).id, scope })
    })
    for (const kind of ['drain', 'undrain'] as const) {
      server.post(`/v1/endpoints/:endpoint/runners/:runner/${kind}`, async (request, reply) =>
        await this.#runOperation(reply, { kind, ...request.params as { endpoint: string, runner: string } }))
    }
    server.get('/v1/log-level', () => ({ level: this.#options.context.logger.level }))
    server.put('/v1/log-level', (request, reply) => this.#setLogLevel(request, reply))
    server.get('/metrics', async (_request, reply) =>
      await reply.type('text/plain; version=0.0.4').send(await this.#options.context.metrics.render()))
    server.get('/healthz', () => ({ alive: true }))
    server.get('/readyz', (_request, reply) => {
      const readiness = this.#options.readiness()
      return reply.code(readiness.ready ? 200 : 503).send(readiness)
    })
  }

  async #applyManifest (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { scope } = request.params as { scope: string }
    const { expect } = request.query as { expect?: unknown }
    const expected = parseVersion(expect)
    if (expected === undefined) {
      const allowed = 'version of the scope that the change is based on; 0 for a new scope'
      return respondInvalid(reply, 400, [{ path: 'expect', value: JSON.stringify(expect) ?? 'nothing', allowed }])
    }
    const parsed = parseManifest(typeof request.body === 'string' ? request.body : '')
    if (parsed.isLeft()) return respondInvalid(reply, 422, parsed.swap().unsafeCoerce())
    const manifest = parsed.unsafeCoerce()
    if (manifest.scope !== scope) {
      const allowed = `${JSON.stringify(scope)}, the scope in the URL`
      return respondInvalid(reply, 422, [{ path: '/scope', value: JSON.stringify(manifest.scope), allowed }])
    }
    return await this.#writeScope(reply, manifest, expected)
  }

  async #writeScope (reply: FastifyReply, manifest: Manifest, expected: number): Promise<FastifyReply> {
    // The object is stored first, so that no index refers to a missing object. Storing it twice is harmless.
    const stored = await putManifest(this.#options.context.platform.objects, manifest)
    if (stored.isLeft()) return respondNotDone(reply, 'store-unavailable')
    const hash = stored.unsafeCoerce()
    const result = await this.#writer.change((index, manifests) =>
      applyScopeChange(index, manifests, { manifest, hash, expected }))
    return respondToChange(reply, result, (refusal) => {
      if (refusal.kind === 'invalid') return respondInvalid(reply, 422, refusal.violations)
      this.#options.context.metrics.count('config_conflicts')
      return reply.code(409).send({ outcome: 'conflict', scope: manifest.scope, expected, current: refusal.current })
    }, manifest.scope)
  }

  async #runOperation (reply: FastifyReply, operation: Operation): Promise<FastifyReply> {
    const result = await this.#writer.change((index, manifests) => applyOperation(index, manifests, operation))
    return respondToChange(reply, result, ({ violation }) =>
      respondInvalid(reply, violation.path === 'scope' ? 400 : 404, [violation]))
  }

  /** Returns the newest configuration, or the one in force in this process while the store is unavailable. */
  async #showConfiguration (reply: FastifyReply): Promise<FastifyReply> {
    const { platform: { table, objects }, configuration: { current } } = this.#options.context
    const read = await table.read(CONFIGURATION_KEY)
    if (read.isRight()) {
      const row = read.unsafeCoerce()
      if (row === undefined) return reply.send({ source: 'table', index: undefined, manifests: {} })
      const index = row.value as ConfigurationIndex
      const manifests = await loadManifests(objects, index, current)
      if (manifests.isRight()) return reply.send({ source: 'table', index, manifests: manifests.unsafeCoerce() })
    }
    if (current === undefined) return respondNotDone(reply, 'store-unavailable')
    return reply.send({ source: 'in-force', index: current.index, manifests: current.manifests })
  }

  #showInForce (request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { version: asked } = request.query as { version?: unknown }
    const version = parseVersion(asked)
    if (version === undefined) {
      return respondInvalid(reply, 400, [{ path: 'version', value: JSON.stringify(asked) ?? 'nothing', allowed: 'a version number' }])
    }
    const { settings, configuration, members } = this.#options.context
    const processes = [
      { id: settings.id, version: configuration.version },
      ...members.members().map(({ id, configVersion }) => ({ id, version: configVersion }))
    ]
    const inForce = processes.filter((process) => process.version >= version).map(({ id }) => id)
    const missing = processes.filter((process) => process.version < version)
    return reply.send({ version, inForceEverywhere: missing.length === 0, inForce, missing })
  }

  async #showStatus () {
    const { settings, configuration, members, peers } = this.#options.context
    const known = members.members()
    const { shards, unreachable } = await collectStatus(known, peers)
    return {
      process: settings.id,
      configVersion: configuration.version,
      readiness: this.#options.readiness(),
      entry: this.#options.describeEntry(),
      shards,
      unreachable,
      processes: known.map(({ id, role, failureDomain, configVersion, leaving }) =>
        ({ id, role, failureDomain, configVersion, leaving }))
    }
  }

  async #explain (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { id } = request.params as { id: string }
    const { members, peers } = this.#options.context
    const { lines, unreachable } = await collectExplanation(members.members(), peers, id)
    const found = lines !== undefined
    return reply.code(found ? 200 : 404).send({ task: id, found, lines, unreachable })
  }

  #setLogLevel (request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { logger } = this.#options.context
    const level = readLevel(request.body)
    if (level === undefined || !LOG_LEVELS.includes(level)) {
      return respondInvalid(reply, 400, [{ path: 'level', value: JSON.stringify(level) ?? 'nothing', allowed: `one of ${LOG_LEVELS.join(', ')}` }])
    }
    setLogLevel(logger, level)
    logger.info({ level }, 'process: log level changed')
    return reply.send({ level })
  }
}

/** Parses the level from `{ "level": "debug" }` or from plain text. */
function readLevel (body: unknown): string | undefined {
  if (typeof body !== 'string') return undefined
  try {
    return (JSON.parse(body) as { level?: string }).level
  } catch {
    return body.trim()
  }
}
