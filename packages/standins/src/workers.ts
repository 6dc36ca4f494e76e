#!/usr/bin/env node
import { runProgram } from './_lib/runProgram.ts'
import { serveWorkers } from './serveWorkers/index.ts'

runProgram({
  name: 'workers',
  flags: [
    { name: 'platform-url', description: 'platform stand-in to register the workers with; empty for none', default: '' },
    { name: 'count', description: 'number of workers', default: 30 },
    { name: 'id-prefix', description: 'prefix of the worker ids', default: 'worker-' },
    { name: 'failure-domain', description: 'failure domain of the workers', default: 'domain-a' },
    { name: 'rack-size', description: 'workers per rack', default: 8 },
    { name: 'cpu-millis', description: 'CPU capacity of a worker, in thousandths of a core', default: 16_000 },
    { name: 'memory-mb', description: 'memory capacity of a worker, in MiB', default: 32_768 },
    { name: 'accelerators', description: 'accelerators of a worker', default: 0 }
  ],
  start: async ({ cpuMillis, memoryMb, accelerators, platformUrl, ...flags }) => {
    const { url, address, workers, close } = await serveWorkers({
      ...flags, platformUrl: platformUrl || undefined, capacity: { cpuMillis, memoryMb, accelerators }
    })
    return { addresses: { url, address, workers: [...workers.keys()] }, close }
  }
})
