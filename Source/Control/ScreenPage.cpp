#include "Control/ScreenPage.h"

namespace mimosashunt {

namespace {

const char *const Style = R"css(
:root{color-scheme:light dark;--bg:#f6f7f9;--panel:#fff;--ink:#14181f;
--soft:#545f70;--line:#c9d0da;--ok:#1b6e3c;--warn:#8a5a00;--bad:#a8201a;
--info:#1f4f9a;--bar:#2f6fd0}
@media(prefers-color-scheme:dark){:root{--bg:#0f1319;--panel:#181e27;
--ink:#eef1f5;--soft:#a9b4c3;--line:#364153;--ok:#63d08e;--warn:#f0b44a;
--bad:#ff7b70;--info:#86b3ff;--bar:#5b93ea}}
*{box-sizing:border-box}
body{margin:0;background:var(--bg);color:var(--ink);
font:20px/1.35 system-ui,"DejaVu Sans",sans-serif}
header{display:flex;gap:2rem;align-items:baseline;padding:.6rem 1.2rem;
border-bottom:2px solid var(--line);background:var(--panel)}
h1{font-size:1.5rem;margin:0}h2{font-size:1.2rem;margin:0 0 .5rem}
h3{font-size:1.05rem;margin:.6rem 0 .3rem;color:var(--soft);font-weight:600}
main{display:grid;grid-template-columns:3fr 2fr;gap:1rem;padding:1rem}
section{background:var(--panel);border:1px solid var(--line);
border-radius:.5rem;padding:.8rem 1rem;min-width:0}
.column{display:grid;gap:1rem;align-content:start;min-width:0}
.centres{display:grid;grid-template-columns:repeat(auto-fit,minmax(15rem,1fr));
gap:.8rem}
.centre{border:1px solid var(--line);border-radius:.4rem;padding:.6rem}
.vms{display:flex;flex-wrap:wrap;gap:.35rem}
.vm{border:2px solid var(--line);border-radius:.3rem;padding:.15rem .5rem;
font-size:.9rem;white-space:nowrap}
.up{border-color:var(--ok);color:var(--ok)}
.draining,.drained,.rebooting{border-color:var(--warn);color:var(--warn);
border-style:dashed}
.down,.unknown{border-color:var(--bad);color:var(--bad);border-style:double}
table{border-collapse:collapse;width:100%}
td,th{text-align:left;padding:.25rem .6rem .25rem 0;vertical-align:middle}
th{color:var(--soft);font-weight:600}td.n{text-align:right;
font-variant-numeric:tabular-nums}
.track{position:relative;height:1.1rem;background:var(--bg);
border:1px solid var(--line);border-radius:.3rem;overflow:hidden;min-width:9rem}
.fill{height:100%;background:var(--bar)}
.mark{position:absolute;top:0;bottom:0;width:3px;background:var(--ink)}
.ok{color:var(--ok)}.warn{color:var(--warn)}.bad{color:var(--bad)}
.soft{color:var(--soft)}#stale{font-weight:700}
form[hidden]{display:none}
th.n{text-align:right}
form{padding:2rem;display:grid;gap:.8rem;max-width:30rem}
input,button{font:inherit;padding:.4rem}
)css";

const char *const Script = R"js(
"use strict";
const el=(tag,cls,text)=>{const e=document.createElement(tag);
 if(cls)e.className=cls;if(text!==undefined)e.textContent=text;return e;};
const signs={up:"✓",draining:"↘",drained:"◇",rebooting:"↻",down:"✕",unknown:"?"};
let lastAt=0;
const seconds=ms=>ms===null||ms===undefined?"never":(ms/1000).toFixed(1)+" s";
function group(list,key){const m=new Map();
 for(const i of list){if(!m.has(i[key]))m.set(i[key],[]);m.get(i[key]).push(i);}
 return [...m].sort((a,b)=>a[0]<b[0]?-1:1);}
function table(heads,rows){const t=el("table");const h=el("tr");
 heads.forEach((x,i)=>h.append(el("th",
 rows.length&&typeof rows[0][i]==="number"?"n":"",x)));t.append(h);
 for(const r of rows){const tr=el("tr");
  for(const c of r){const td=el("td");
   if(c instanceof Node)td.append(c);else{td.textContent=c;
    if(typeof c==="number")td.className="n";}
   tr.append(td);}
  t.append(tr);}
 return t;}
function bar(value,most,mark){const t=el("div","track"),f=el("div","fill");
 f.style.width=(most?Math.min(100,100*value/most):0)+"%";t.append(f);
 if(mark!==undefined&&most){const m=el("div","mark");
  m.style.left=Math.min(99,100*mark/most)+"%";t.append(m);}
 return t;}
function show(id,...nodes){document.getElementById(id).replaceChildren(...nodes);}
function centres(f){const out=[];
 for(const [name,vms] of group(f.vms,"dataCentre")){
  const box=el("div","centre");box.append(el("h2","",name));
  const entries=f.entries.filter(e=>e.dataCentre===name);
  const cut=entries.length>0&&entries.every(e=>!e.reachable);
  if(cut)box.append(el("div","bad","✕ cut off from the leader"));
  for(const [pool,list] of group(vms,"pool")){
   box.append(el("h3","","pool "+pool));const row=el("div","vms");
   for(const v of list)row.append(el("span","vm "+v.state,
    signs[v.state]+" "+v.vm+(v.state==="up"?"":" "+v.state)));
   box.append(row);}
  out.push(box);}
 return out;}
function waves(f){if(!f.waves.length)return [el("div","soft","No wave was announced.")];
 return f.waves.slice().reverse().slice(0,6).map(w=>{const box=el("div");
  const all=w.waiting.length+w.draining.length+w.done.length;
  const state=w.ended?"✓ ended":"↘ "+w.done.length+" of "+all+" done, "+
   w.draining.length+" draining";
  const title=el("h3","",w.wave+": "+state);box.append(title,bar(w.done.length,all));
  if(!w.ended)box.append(el("div","soft",w.forecastMillis===null?
   "no forecast yet":"ends in about "+seconds(w.forecastMillis)));
  const why=new Map();for(const o of w.obstacles)
   why.set(o.reason,(why.get(o.reason)||0)+1);
  for(const [r,n] of why)box.append(el("div","warn","⏸ "+n+" waiting: "+r));
  return box;});}
function teams(f){return [table(["team","running of limit","","waiting","share"],
 f.teams.map(t=>[t.team,bar(t.running,t.limit,t.sliced),
  t.running+" / "+t.limit,t.waiting,t.share]))];}
function services(f){return [table(["service","live","needed","state"],
 f.services.map(s=>[s.service,s.live+" of "+s.instances,s.required,
  s.live<s.required?el("span","bad","✕ below budget"):
  s.live<s.instances?el("span","warn","△ reduced"):el("span","ok","✓ full")]))];}
function entries(f){return [table(["entry VM","centre","revision","heard"],
 f.entries.map(e=>[e.vm,e.dataCentre,
  !e.reachable?el("span","bad","✕ cut off"+(e.revision===null?"":" at "+e.revision)):
  e.revision===f.revision?el("span","ok","✓ "+e.revision):
  el("span","warn","△ "+e.revision+" of "+f.revision),
  seconds(e.ageMillis)+" ago"]))];}
function control(f){return [table(["control VM","role","heard"],
 f.control.map(c=>[c.vm,(c.leads?"★ leader":c.role),c.leads?"":
  c.silentMillis===null||c.silentMillis>2000?
  el("span","bad","✕ silent "+seconds(c.silentMillis)):
  el("span","ok","✓ "+seconds(c.silentMillis)+" ago")]))];}
function render(f){lastAt=Date.now();
 show("centres",...centres(f));show("waves",...waves(f));show("teams",...teams(f));
 show("services",...services(f));show("entries",...entries(f));
 show("control",...control(f));
 document.getElementById("head").textContent="revision "+f.revision+
  " · leader "+(f.leader||"unknown");
 document.getElementById("platform").textContent="platform heard "+
  seconds(f.platformAgeMillis)+" ago";}
setInterval(()=>{const s=document.getElementById("stale");
 const age=lastAt?Date.now()-lastAt:null;
 if(age===null){s.textContent="waiting for the first picture";s.className="warn";}
 else if(age>3000){s.textContent="✕ picture is "+seconds(age)+" old";s.className="bad";}
 else{s.textContent="✓ live";s.className="ok";}},500);
async function watch(){
 for(;;){try{
  const key=sessionStorage.getItem("key");
  const r=await fetch("/v1/screen/events",{headers:key?{authorization:"Bearer "+key}:{}});
  if(r.status===401){ask();return;}
  const reader=r.body.pipeThrough(new TextDecoderStream()).getReader();
  let text="";
  for(;;){const {value,done}=await reader.read();if(done)break;text+=value;
   let at;while((at=text.indexOf("\n\n"))>=0){
    const event=text.slice(0,at);text=text.slice(at+2);
    const data=event.split("\n").filter(l=>l.startsWith("data: "))
     .map(l=>l.slice(6)).join("\n");
    if(event.startsWith("event: moved")){location.href=data;return;}
    render(JSON.parse(data));}}
 }catch(e){}
 await new Promise(r=>setTimeout(r,1000));}}
function ask(){const form=document.getElementById("ask");form.hidden=false;
 form.onsubmit=e=>{e.preventDefault();
  sessionStorage.setItem("key",document.getElementById("key").value);
  form.hidden=true;watch();};}
watch();
)js";

const char *const Body = R"html(
<header><h1>mimosashunt</h1><span id="head" class="soft"></span>
<span id="platform" class="soft"></span><span id="stale"></span></header>
<form id="ask" hidden><label for="key">Operator's key</label>
<input id="key" type="password" autocomplete="off"><button>Watch</button></form>
<main><div class="column">
<section><h2>Data centres</h2><div id="centres" class="centres"></div></section>
<section><h2>Maintenance waves</h2><div id="waves"></div></section>
<section><h2>Control VMs</h2><div id="control"></div></section>
</div><div class="column">
<section><h2>Services</h2><div id="services"></div></section>
<section><h2>Teams</h2><div id="teams"></div>
<div class="soft">Line: slices handed out. Bar: running.</div></section>
<section><h2>Configuration in force</h2><div id="entries"></div></section>
</div></main>
)html";

} // namespace

const std::string &screenPage() {
  static const std::string Page =
      std::string("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
                  "<meta name=\"viewport\" content=\"width=device-width\">"
                  "<title>mimosashunt</title><style>") +
      Style + "</style><body>" + Body + "<script>" + Script +
      "</script></body></html>";
  return Page;
}

} // namespace mimosashunt
