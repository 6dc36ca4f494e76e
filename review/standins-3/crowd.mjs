/**
 * A crowd of clients in a process of its own: each connection sends a complete request, reads the answer, and sends the
 * next one. Started with a channel to its parent, over which it receives its options and reports the answers by status.
 */
import { Agent, request as httpRequest } from 'node:http'

const REPORT_MS = 500

process.on('disconnect', () => process.exit(0))
process.once('message', ({ ip, port, connections, body, ids, deadlineMs, pauseMs }) => {
  const agent = new Agent({ keepAlive: true, maxSockets: connections })
  const content = Buffer.from(body)
  const statuses = {}
  let sent = 0
  const call = () => new Promise((resolve) => {
    const request = httpRequest({
      host: ip,
      port,
      agent,
      method: 'POST',
      path: `/a/${(++sent % ids).toString(16).padStart(16, '0')}`,
      headers: {
        host: 'jobs.example',
        'content-type': 'application/json',
        'content-length': content.length,
        'x-gypsumspring-deadline-ms': String(deadlineMs)
      }
    }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('close', () => resolve(0))
    })
    const timer = setTimeout(() => request.destroy(), deadlineMs + 500)
    request.on('close', () => {
      clearTimeout(timer)
      resolve(0)
    })
    request.on('error', () => resolve(0))
    request.end(content)
  })
  const run = async () => {
    for (;;) {
      const status = await call()
      statuses[status] = (statuses[status] ?? 0) + 1
      if (status !== 200) await new Promise((resolve) => setTimeout(resolve, pauseMs))
    }
  }
  for (let index = 0; index < connections; index++) run()
  setInterval(() => process.send({ sent, statuses }), REPORT_MS)
})
