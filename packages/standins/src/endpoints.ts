#!/usr/bin/env node
import { runProgram } from './_lib/runProgram.ts'
import { serveEndpoints } from './serveEndpoints/index.ts'

runProgram({
  name: 'endpoints',
  flags: [
    { name: 'count', description: 'number of runners', default: 30 },
    { name: 'id-prefix', description: 'prefix of the runner ids', default: 'runner-' },
    { name: 'service-ms', description: 'service time of one request, in ms', default: 0 },
    { name: 'slots', description: 'requests that a runner processes concurrently', default: 8 }
  ],
  start: async ({ port, count, idPrefix, serviceMs, slots }) => {
    const { url, runners, close } = await serveEndpoints({ port, count, idPrefix, behaviour: { serviceMs, slots } })
    return { addresses: { url, runners: runners.map(({ id, address }) => ({ id, address })) }, close }
  }
})
