import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { text } from 'node:stream/consumers'
import { setLogLevel } from '../../logging/index.ts'
import type { ProcessContext } from '../../types.ts'

type StatusContext = Pick<ProcessContext, 'settings' | 'logger' | 'metrics' | 'configuration'>

const LOG_LEVELS = ['debug', 'info', 'warn', 'error']

/**
 * Serves health, metrics and log level of a scheduler over HTTP. Uses Node's HTTP server instead of fastify, which
 * alone takes 15 MB of the 64 MB that the control plane may use on a node.
 */
export class StatusServer {
  readonly #context: StatusContext
  readonly #server: Server

  constructor (context: StatusContext) {
    this.#context = context
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
  }

  /** Starts listening. Rejects when the address can't be bound. */
  async listen (port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
  }

  async close (): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { metrics, configuration, logger } = this.#context
    switch (`${request.method} ${request.url}`) {
      case 'GET /metrics':
        response.setHeader('content-type', 'text/plain; version=0.0.4')
        response.end(await metrics.render())
        return
      case 'GET /healthz':
        return send(response, 200, { alive: true })
      case 'GET /readyz': {
        const ready = configuration.current !== undefined
        return send(response, ready ? 200 : 503, ready ? { ready } : { ready, reason: 'no configuration is known' })
      }
      case 'GET /v1/log-level':
        return send(response, 200, { level: logger.level })
      case 'PUT /v1/log-level':
        return this.#setLogLevel(response, (await text(request)).trim())
      default:
        return send(response, 404, { reason: 'unknown-path' })
    }
  }

  #setLogLevel (response: ServerResponse, level: string): void {
    if (!LOG_LEVELS.includes(level)) {
      const violation = { path: 'level', value: JSON.stringify(level), allowed: `one of ${LOG_LEVELS.join(', ')}` }
      return send(response, 400, { outcome: 'not-run', reason: 'invalid', violations: [violation] })
    }
    setLogLevel(this.#context.logger, level)
    send(response, 200, { level })
  }
}

function send (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
