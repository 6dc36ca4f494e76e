export { ConfigurationStore } from './ConfigurationStore.ts'
export { ConfigurationTask } from './ConfigurationTask.ts'
export { getManifest, putManifest } from './_lib/manifestObjects.ts'
