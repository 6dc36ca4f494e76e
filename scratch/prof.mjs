import { readFileSync, readdirSync } from 'node:fs'
const dir='/work/out/prof/'; const f=readdirSync(dir).find(x=>x.endsWith('.cpuprofile'))
const p=JSON.parse(readFileSync(dir+f)); const self=new Map(); const byId=new Map(p.nodes.map(n=>[n.id,n]))
const parent=new Map(); for(const n of p.nodes) for(const c of n.children??[]) parent.set(c,n.id)
const from=Number(process.argv[2]??0)*1e6
let t=p.startTime; const times=new Map(); let total=0
p.samples.forEach((id,i)=>{ t+=p.timeDeltas[i]; if(t-p.startTime<from) return; times.set(id,(times.get(id)??0)+p.timeDeltas[i]); total+=p.timeDeltas[i] })
const name=n=>`${n.callFrame.functionName||'(anon)'} ${n.callFrame.url.split('/').slice(-1)[0]}:${n.callFrame.lineNumber}:${n.callFrame.columnNumber}`
const incl=new Map()
for(const [id,v] of times){ const n=byId.get(id); const k=name(n); self.set(k,(self.get(k)??0)+v); const seen=new Set(); for(let x=id;x!==undefined;x=parent.get(x)){const kk=name(byId.get(x)); if(!seen.has(kk)){seen.add(kk); incl.set(kk,(incl.get(kk)??0)+v)}} }
const show=(m,n)=>[...m].sort((a,b)=>b[1]-a[1]).slice(0,n).forEach(([k,v])=>console.log((v/total*100).toFixed(1).padStart(6)+'%',k))
console.log('total s',total/1e6); console.log('SELF'); show(self,Number(process.argv[3]??35)); console.log('INCL'); show(incl,Number(process.argv[4]??60))
